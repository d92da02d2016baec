package org.guavagw.internal.membership;

import java.util.List;

/**
 * What one entry of a data centre tells all others about it from time to time. Immutable.
 *
 * @param beat rises with every summary, whichever entry makes it
 * @param members entries that should have the configuration
 * @param lowestRevision a revision that is in force at each of them
 * @param behind some of the members that hold the others back
 */
public record DataCentreSummary(
    String dataCentre, long beat, int members, long lowestRevision, List<String> behind) {
  public DataCentreSummary {
    behind = List.copyOf(behind);
  }

  boolean saysTheSame(DataCentreSummary other) {
    return members == other.members
        && lowestRevision == other.lowestRevision
        && behind.equals(other.behind);
  }
}
