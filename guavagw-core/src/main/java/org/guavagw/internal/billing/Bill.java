package org.guavagw.internal.billing;

import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * The final bill of a request; each request gets exactly one. Immutable.
 *
 * @param version the version that the request was accepted for; the attempts name the versions that
 *     ran
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

  static Bill of(BillIntentRecord intent, Settlement settlement) {
    return new Bill(
        intent.requestId(),
        intent.team(),
        intent.version(),
        settlement.costMicros(),
        BillBasis.ACTUAL,
        settlement.attempts());
  }

  static Bill notRun(BillIntentRecord intent) {
    return new Bill(
        intent.requestId(), intent.team(), intent.version(), 0, BillBasis.NOT_RUN, List.of());
  }

  static Bill unknownOutcome(BillIntentRecord intent, long costMicros) {
    return new Bill(
        intent.requestId(),
        intent.team(),
        intent.version(),
        costMicros,
        BillBasis.UNKNOWN_OUTCOME,
        List.of());
  }
}
