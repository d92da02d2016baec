package org.guavagw.internal.config;

import java.time.Duration;

/**
 * States how recently this entry's configuration was confirmed to be the newest. Thread-safe.
 *
 * <p>An entry without a recent confirmation continues to serve with the configuration that it has,
 * but starts nothing that a withdrawal is likely to affect, such as a new session on a version in
 * rollout.
 */
public interface ConfigFreshness {
  /**
   * Returns the time since any entry read from the table service that this entry's revision is the
   * newest.
   */
  Duration confirmedAge();

  /**
   * Returns whether the configuration was confirmed within the time in which a change must be in
   * force.
   */
  boolean isConfirmed();
}
