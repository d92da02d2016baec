package org.guavagw.internal.config;

import java.util.List;

/**
 * The newest configuration and the revisions that led to it. Immutable.
 *
 * @param records the revisions between the known configuration and this one, oldest first; empty if
 *     there is no newer one or the configuration was read from a checkpoint
 */
public record ConfigUpdate(RevisionedConfig config, List<RevisionRecord> records) {
  public ConfigUpdate {
    records = List.copyOf(records);
  }
}
