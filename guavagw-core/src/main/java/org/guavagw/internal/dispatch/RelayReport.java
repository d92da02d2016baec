package org.guavagw.internal.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.TokenUsage;

/** The result of relaying one answer, with its measurements. Immutable. */
record RelayReport(AttemptResult result, Duration timeToFirstByte, TokenUsage usage, int chunks) {
  Optional<EngineFailure> failure() {
    return result instanceof AttemptResult.Failed failed
        ? Optional.of(failed.failure())
        : Optional.empty();
  }
}
