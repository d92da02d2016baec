package org.guavagw.internal.billing;

import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * The one final account of a request. Immutable.
 *
 * @param version the version that the request was opened for; attempts name what ran
 */
public record Bill(
    String requestId,
    String team,
    VersionRef version,
    long costMicros,
    BillBasis basis,
    List<BilledAttempt> attempts) {
  public Bill {
    attempts = List.copyOf(attempts);
  }

  static Bill of(BillOpening opening, Settlement settlement) {
    return new Bill(
        opening.requestId(),
        opening.team(),
        opening.version(),
        settlement.costMicros(),
        BillBasis.ACTUAL,
        settlement.attempts());
  }

  static Bill notRun(BillOpening opening) {
    return new Bill(
        opening.requestId(), opening.team(), opening.version(), 0, BillBasis.NOT_RUN, List.of());
  }

  static Bill unknownOutcome(BillOpening opening, long costMicros) {
    return new Bill(
        opening.requestId(),
        opening.team(),
        opening.version(),
        costMicros,
        BillBasis.UNKNOWN_OUTCOME,
        List.of());
  }
}
