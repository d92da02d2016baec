package org.guavagw.internal.engine;

import io.vavr.control.Either;

/** Sends requests to model engines. Thread-safe; calls block. */
public interface EngineClient extends AutoCloseable {
  /** Sends a request and waits until the backend server accepts or refuses it. */
  Either<EngineFailure, EngineStream> open(BackendAddress address, EngineRequest request);

  @Override
  void close();
}
