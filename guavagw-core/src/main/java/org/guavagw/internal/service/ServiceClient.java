package org.guavagw.internal.service;

import io.vavr.control.Either;
import java.time.Duration;
import org.guavagw.internal.engine.BackendAddress;
import org.guavagw.internal.engine.EngineFailure;

/** Calls plain services. Thread-safe; calls block. */
public interface ServiceClient {
  /**
   * Makes one call and waits for the complete answer.
   *
   * @param repeatable whether a second execution is harmless, which allows pooled connections
   */
  Either<EngineFailure, ServiceAnswer> call(
      BackendAddress address,
      String requestId,
      ServiceCall call,
      boolean repeatable,
      Duration timeLeft);
}
