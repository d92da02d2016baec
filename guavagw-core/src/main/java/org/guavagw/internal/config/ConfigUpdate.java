package org.guavagw.internal.config;

import java.util.List;

/**
 * A newer configuration and how it came about. Immutable.
 *
 * @param records the revisions between the known configuration and this one, oldest first; empty
 *     where nothing is new or the configuration was read in full
 */
public record ConfigUpdate(RevisionedConfig config, List<RevisionRecord> records) {
  public ConfigUpdate {
    records = List.copyOf(records);
  }
}
