package org.guavagw.gateway.internal.control;

import java.util.HashSet;
import java.util.Set;

/** Tracks for which tables calls to the store fail. Confined to the control thread. */
final class StoreHealth {
  private final String probeTable;
  private final Set<String> failingTables = new HashSet<>();

  /**
   * Creates a tracker without failures.
   *
   * @param probeTable the table whose retries detect the end of a store outage for all tables
   */
  StoreHealth(String probeTable) {
    this.probeTable = probeTable;
  }

  /** Records a failed call; returns whether calls for the table succeeded before. */
  boolean onFailure(String table) {
    return failingTables.add(table);
  }

  /** Records a successful call; returns whether calls for the table failed before. */
  boolean onSuccess(String table) {
    return failingTables.remove(table);
  }

  /** Returns whether calls for a table may wait until those for the probe table succeed again. */
  boolean waitsForProbe(String table) {
    return !table.equals(probeTable) && failingTables.contains(probeTable);
  }

  /** Returns whether calls for any table fail. */
  boolean isFailing() {
    return !failingTables.isEmpty();
  }
}
