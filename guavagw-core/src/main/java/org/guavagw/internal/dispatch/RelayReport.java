package org.guavagw.internal.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.Usage;

/** What came of relaying one answer. Immutable. */
record RelayReport(AttemptResult result, Duration firstByte, Usage usage, int chunks) {
  Optional<EngineFailure> failure() {
    return result instanceof AttemptResult.Failed failed
        ? Optional.of(failed.failure())
        : Optional.empty();
  }
}
