package org.guavagw.internal.config;

import java.util.List;
import org.guavagw.internal.membership.DataCentreSummary;

/** Which revision is in force where, some seconds late. Thread-safe. */
public interface InForceTable {
  /** The newest summary of each data centre that was heard from. */
  List<DataCentreSummary> dataCentres();

  /** Whether a revision is in force at every entry of a data centre. */
  default boolean isInForce(String dataCentre, long revision) {
    return dataCentres().stream()
        .anyMatch(s -> s.dataCentre().equals(dataCentre) && s.lowestRevision() >= revision);
  }
}
