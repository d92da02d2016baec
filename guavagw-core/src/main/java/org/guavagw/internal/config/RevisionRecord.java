package org.guavagw.internal.config;

import java.util.List;
import java.util.Optional;
import org.guavagw.config.GatewayConfig;

/**
 * One revision as it is stored and sent: its metadata, and the delta from the revision before.
 * Immutable.
 *
 * @param hasDelta false if the delta is too large for a row or does not reproduce the change
 *     exactly
 */
public record RevisionRecord(RevisionInfo entry, boolean hasDelta, ConfigDelta delta) {
  static RevisionRecord withoutDelta(RevisionInfo entry) {
    return new RevisionRecord(entry, false, ConfigDelta.NONE);
  }

  /** Applies consecutive records to a revision; empty if there is a gap or a missing delta. */
  static Optional<RevisionedConfig> applyAll(RevisionedConfig from, List<RevisionRecord> records) {
    Optional<RevisionedConfig> config = Optional.of(from);
    for (RevisionRecord record : records) {
      config = config.flatMap(record::applyTo);
    }
    return config;
  }

  /** Applies this record to its predecessor; empty for any other revision or without a delta. */
  public Optional<RevisionedConfig> applyTo(RevisionedConfig before) {
    if (!hasDelta || before.revision() + 1 != entry.revision()) {
      return Optional.empty();
    }
    GatewayConfig next = delta.applyTo(before.config());
    return Optional.of(new RevisionedConfig(entry.revision(), next));
  }
}
