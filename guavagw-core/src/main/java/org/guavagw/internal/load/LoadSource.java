package org.guavagw.internal.load;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.guavagw.config.BackendServerConfig;

/** Reads the state of backend servers. Thread-safe; calls do not block. */
public interface LoadSource {
  /** Reads the current load of a backend server. */
  CompletionStage<Either<LoadFailure, ServerLoad>> load(BackendServerConfig server);

  /** Reads the cache events after a number, oldest first; they may be late and have gaps. */
  CompletionStage<Either<LoadFailure, List<CacheEvent>>> cacheEvents(
      BackendServerConfig server, long after);
}
