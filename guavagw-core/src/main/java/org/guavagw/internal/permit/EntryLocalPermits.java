package org.guavagw.internal.permit;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Semaphore;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.config.ConfigSource;

/** Counts permits in this process alone; right only where a single entry serves. Thread-safe. */
public final class EntryLocalPermits implements PermitService {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ConfigSource configs;
  private final ConcurrentMap<String, Semaphore> slots = new ConcurrentHashMap<>();

  /** Creates a service that reads limits from the configuration. */
  public EntryLocalPermits(ConfigSource configs) {
    this.configs = configs;
  }

  @Override
  public Either<PermitRefusal, Permit> acquire(String backendServer, Duration patience) {
    Semaphore semaphore = slots.computeIfAbsent(backendServer, id -> new Semaphore(limit(id)));
    if (!semaphore.tryAcquire()) {
      return Either.left(new PermitRefusal(PermitRefusal.Reason.FULL, RETRY_AFTER));
    }
    return Either.right(new LocalPermit(semaphore));
  }

  private int limit(String backendServer) {
    return configs
        .current()
        .config()
        .backendServer(backendServer)
        .map(BackendServerConfig::coldSlots)
        .orElse(0);
  }

  /** A permit that counts until it is given back. */
  private record LocalPermit(Semaphore semaphore) implements Permit {
    @Override
    public boolean isSafe() {
      return true;
    }

    @Override
    public void close() {
      semaphore.release();
    }
  }
}
