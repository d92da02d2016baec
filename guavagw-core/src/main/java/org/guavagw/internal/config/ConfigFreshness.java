package org.guavagw.internal.config;

import java.time.Duration;

/**
 * How sure this entry is that it has the newest configuration. Thread-safe.
 *
 * <p>An entry that is not sure goes on serving what it knows, and starts nothing that a withdrawal
 * is likely to concern, such as a new session on a version in rollout.
 */
public interface ConfigFreshness {
  /** Time since someone read in the table service that this entry's revision is the newest. */
  Duration confirmedAge();

  /** Whether the configuration was confirmed within the time in which a change must be in force. */
  boolean isConfirmed();
}
