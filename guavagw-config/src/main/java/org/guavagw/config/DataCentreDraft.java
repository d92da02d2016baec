package org.guavagw.config;

/** Builder of a {@link DataCentreConfig}. Immutable: each call returns a new draft. */
public record DataCentreDraft(DataCentreConfig build) {
  /** Sets the region. */
  public DataCentreDraft in(String region) {
    return new DataCentreDraft(new DataCentreConfig(build.id(), region, build.state()));
  }

  /** Takes the data centre out of service. */
  public DataCentreDraft takenOut() {
    return new DataCentreDraft(
        new DataCentreConfig(build.id(), build.region(), DataCentreState.OUT));
  }
}
