package org.guavagw.internal.dispatch;

import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.limits.AttemptOutcome;

/** Maps a failed attempt to the outcome that placement and limits record. Stateless. */
final class OutcomeMapper {
  private OutcomeMapper() {}

  static AttemptOutcome toOutcome(EngineFailure failure) {
    return AttemptOutcome.of(
        switch (failure.kind()) {
          case NOT_SENT, SILENT -> AttemptOutcome.Kind.UNREACHABLE;
          case REFUSED -> AttemptOutcome.Kind.REFUSED;
          case BROKEN, MISMATCHED -> AttemptOutcome.Kind.FAILED;
          case REJECTED, TIMED_OUT, CANCELLED -> AttemptOutcome.Kind.CANCELLED;
        });
  }
}
