package org.guavagw.internal.dispatch;

import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.limits.Outcome;

/** Maps a failed attempt to the outcome that placement and limits record. Stateless. */
final class OutcomeMapper {
  private OutcomeMapper() {}

  static Outcome toOutcome(EngineFailure failure) {
    return Outcome.of(
        switch (failure.kind()) {
          case NOT_SENT, SILENT -> Outcome.Kind.UNREACHABLE;
          case REFUSED -> Outcome.Kind.REFUSED;
          case BROKEN, MISMATCHED -> Outcome.Kind.FAILED;
          case REJECTED, TIMED_OUT, CANCELLED -> Outcome.Kind.CANCELLED;
        });
  }
}
