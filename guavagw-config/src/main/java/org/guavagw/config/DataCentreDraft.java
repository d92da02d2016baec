package org.guavagw.config;

/** A data centre as it is written. Immutable. */
public record DataCentreDraft(DataCentreConfig build) {
  /** Names the region. */
  public DataCentreDraft in(String region) {
    return new DataCentreDraft(new DataCentreConfig(build.id(), region, build.state()));
  }

  /** Takes the data centre out. */
  public DataCentreDraft takenOut() {
    return new DataCentreDraft(
        new DataCentreConfig(build.id(), build.region(), DataCentreState.OUT));
  }
}
