package org.guavagw.internal.engine;

import io.vavr.control.Either;

/**
 * An answer that arrives in chunks.
 *
 * <p>Confined to the thread that reads it, but for {@link #cancel()}, which any thread may call.
 */
public interface EngineStream extends AutoCloseable {
  /** What the backend server said of itself when it accepted the request. */
  EngineHello hello();

  /** Waits for the next chunk. */
  Either<EngineFailure, EngineChunk> next();

  /** Ends the exchange early and tells the backend server. */
  void cancel();

  @Override
  void close();
}
