package org.guavagw.cli.bench.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.load.CacheEvent;
import org.guavagw.internal.load.LoadFailure;
import org.guavagw.internal.load.LoadSource;
import org.guavagw.internal.load.ServerLoad;

/**
 * Simulates the load of backend servers as queues with random arrivals and service times at peak
 * rates. Thread-safe.
 */
final class SimulatedLoadSource implements LoadSource {
  private static final double ARRIVALS_PER_S = 1_900.0 / 830;
  private static final double RUNNING_TIME_S = 510_000.0 / 1_900 * 0.036;
  private static final double STEP_S = 0.1;
  private static final double MAX_ELAPSED_S = 30;

  private final Map<String, Server> servers = new ConcurrentHashMap<>();

  @Override
  public CompletionStage<Either<LoadFailure, ServerLoad>> load(BackendServerConfig server) {
    Server state =
        servers.computeIfAbsent(server.id(), id -> new Server(id.hashCode(), server.slots()));
    return CompletableFuture.completedFuture(Either.right(state.load(server)));
  }

  @Override
  public CompletionStage<Either<LoadFailure, List<CacheEvent>>> cacheEvents(
      BackendServerConfig server, long after) {
    return CompletableFuture.completedFuture(Either.right(List.of()));
  }

  /** Simulated queue of one backend server. Thread-safe. */
  private static final class Server {
    private final SplittableRandom random;
    private final int slots;
    private int requests = (int) (ARRIVALS_PER_S * RUNNING_TIME_S);
    private long lastUpdateNs = System.nanoTime();

    Server(long seed, int slots) {
      this.random = new SplittableRandom(seed);
      this.slots = slots;
    }

    synchronized ServerLoad load(BackendServerConfig config) {
      long now = System.nanoTime();
      double elapsedS =
          Math.min(MAX_ELAPSED_S, (now - lastUpdateNs) / (double) TimeUnit.SECONDS.toNanos(1));
      lastUpdateNs = now;
      for (double t = 0; t < elapsedS; t += STEP_S) {
        step();
      }
      int running = Math.min(slots, requests);
      return new ServerLoad(
          "boot-" + config.id(),
          "warm",
          running,
          requests - running,
          slots,
          config.serves().stream().map(Object::toString).toList(),
          List.of(),
          "mixed");
    }

    private void step() {
      int completed = 0;
      for (int i = 0; i < Math.min(slots, requests); i++) {
        completed += random.nextDouble() < STEP_S / RUNNING_TIME_S ? 1 : 0;
      }
      requests += (random.nextDouble() < ARRIVALS_PER_S * STEP_S ? 1 : 0) - completed;
    }
  }
}
