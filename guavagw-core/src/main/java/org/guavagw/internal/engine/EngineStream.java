package org.guavagw.internal.engine;

import io.vavr.control.Either;

/**
 * An answer that arrives in chunks.
 *
 * <p>Confined to the reading thread, except for {@link #cancel()}, which any thread may call.
 */
public interface EngineStream extends AutoCloseable {
  /** Returns the state that the backend server reported when it accepted the request. */
  EngineStatus engineStatus();

  /** Waits for the next chunk and returns it. */
  Either<EngineFailure, EngineChunk> next();

  /** Cancels the request, which closes the connection to the backend server. */
  void cancel();

  @Override
  void close();
}
