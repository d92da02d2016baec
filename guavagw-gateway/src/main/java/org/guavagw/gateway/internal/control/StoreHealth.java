package org.guavagw.gateway.internal.control;

import java.util.HashSet;
import java.util.Set;

/**
 * Whether the store answers this entry, over all tables that are followed. Confined to the control
 * thread.
 */
final class StoreHealth {
  private final String probeTable;
  private final Set<String> failing = new HashSet<>();

  /**
   * Health of which nothing bad is known.
   *
   * @param probeTable the table whose calls find out when a store that is away returns
   */
  StoreHealth(String probeTable) {
    this.probeTable = probeTable;
  }

  /** Notes a call that failed, and says whether the table's calls went well before. */
  boolean onFailure(String table) {
    return failing.add(table);
  }

  /** Notes a call that went well, and says whether the table's calls failed before. */
  boolean onSuccess(String table) {
    return failing.remove(table);
  }

  /** Whether a table's calls may wait until those of the probe table go well again. */
  boolean leftToProbe(String table) {
    return !table.equals(probeTable) && failing.contains(probeTable);
  }

  /** Whether the calls of any table fail. */
  boolean failing() {
    return !failing.isEmpty();
  }
}
