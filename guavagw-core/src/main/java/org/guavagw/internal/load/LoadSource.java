package org.guavagw.internal.load;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.guavagw.config.BackendServerConfig;

/** Asks backend servers for their state. Thread-safe; calls do not block. */
public interface LoadSource {
  /** What a backend server is doing. */
  CompletionStage<Either<LoadFailure, ServerLoad>> load(BackendServerConfig server);

  /** Cache events after a number, oldest first; they may be late and have gaps. */
  CompletionStage<Either<LoadFailure, List<CacheEvent>>> cacheEvents(
      BackendServerConfig server, long after);
}
