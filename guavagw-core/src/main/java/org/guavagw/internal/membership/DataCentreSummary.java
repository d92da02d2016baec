package org.guavagw.internal.membership;

import java.util.List;

/**
 * Summary of a data centre that one of its entries sends to all other entries periodically.
 * Immutable.
 *
 * @param beat sequence number, increased with every summary whichever entry publishes it
 * @param members number of entries that should have the configuration
 * @param lowestRevision lowest revision in force at any of these entries
 * @param behind some of the members whose revision is below the highest one
 */
public record DataCentreSummary(
    String dataCentre, long beat, int members, long lowestRevision, List<String> behind) {
  public DataCentreSummary {
    behind = List.copyOf(behind);
  }

  boolean hasSameContent(DataCentreSummary other) {
    return members == other.members
        && lowestRevision == other.lowestRevision
        && behind.equals(other.behind);
  }
}
