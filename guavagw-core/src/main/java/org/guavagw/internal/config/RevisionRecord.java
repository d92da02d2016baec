package org.guavagw.internal.config;

import java.util.List;
import java.util.Optional;
import org.guavagw.config.GatewayConfig;

/**
 * One revision as it is stored and spread: who made it, and what changed since the revision before.
 * Immutable.
 *
 * @param hasDelta false where the change was too large to be kept as a delta
 */
public record RevisionRecord(ConfigEntry entry, boolean hasDelta, ConfigDelta delta) {
  static RevisionRecord withoutDelta(ConfigEntry entry) {
    return new RevisionRecord(entry, false, ConfigDelta.NONE);
  }

  /** The revision that records in a row make; empty if there is a gap between them. */
  static Optional<RevisionedConfig> applyAll(RevisionedConfig from, List<RevisionRecord> records) {
    Optional<RevisionedConfig> config = Optional.of(from);
    for (RevisionRecord record : records) {
      config = config.flatMap(record::applyTo);
    }
    return config;
  }

  /** The revision that this one makes of its predecessor; empty if it cannot be made from it. */
  public Optional<RevisionedConfig> applyTo(RevisionedConfig before) {
    if (!hasDelta || before.revision() + 1 != entry.revision()) {
      return Optional.empty();
    }
    GatewayConfig next = delta.applyTo(before.config());
    return Optional.of(new RevisionedConfig(entry.revision(), next));
  }
}
