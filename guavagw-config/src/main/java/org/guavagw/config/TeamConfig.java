package org.guavagw.config;

import java.util.List;

/**
 * A team, the SHA-256 hashes of its API keys in lower-case hex, and what it may use. Immutable.
 *
 * @param cascades task classes that the team may request
 * @param plainServices ids of plain services that the team may call
 */
public record TeamConfig(
    String id,
    List<String> keyHashes,
    List<AllowanceConfig> allowances,
    List<String> cascades,
    List<String> plainServices,
    BudgetConfig budget,
    LimitConfig limits) {
  public TeamConfig {
    keyHashes = List.copyOf(keyHashes);
    allowances = List.copyOf(allowances);
    cascades = List.copyOf(cascades);
    plainServices = List.copyOf(plainServices);
  }

  /** Returns whether the team may use the version. */
  public boolean allows(VersionRef ref) {
    return allowances.stream().anyMatch(a -> a.covers(ref));
  }
}
