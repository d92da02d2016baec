package org.guavagw.internal.dispatch;

import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.limits.Outcome;

/** Says what a failed exchange means for placement and limits. Stateless. */
final class Outcomes {
  private Outcomes() {}

  static Outcome of(EngineFailure failure) {
    return Outcome.of(
        switch (failure.kind()) {
          case NOT_SENT, SILENT -> Outcome.Kind.UNREACHABLE;
          case REFUSED -> Outcome.Kind.REFUSED;
          case BROKEN, MISMATCHED -> Outcome.Kind.FAILED;
          case REJECTED, TIMED_OUT, CANCELLED -> Outcome.Kind.CANCELLED;
        });
  }
}
