package org.guavagw.internal.config;

import java.util.List;
import org.guavagw.internal.membership.DataCentreSummary;

/** Shows, some seconds late, which revisions are in force in each data centre. Thread-safe. */
public interface InForceRevisions {
  /** Returns the newest summary of each data centre from which one has arrived. */
  List<DataCentreSummary> dataCentres();

  /** Returns whether a revision or a newer one is in force at every entry of a data centre. */
  default boolean isInForce(String dataCentre, long revision) {
    return dataCentres().stream()
        .anyMatch(s -> s.dataCentre().equals(dataCentre) && s.lowestRevision() >= revision);
  }
}
