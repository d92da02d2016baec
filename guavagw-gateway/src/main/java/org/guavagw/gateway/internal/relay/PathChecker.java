package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.guavagw.gateway.model.BackendServer;

/**
 * Finds out whether quiet backend servers can be reached, by opening a connection. Traffic thread
 * only.
 *
 * <p>Invariant: at most one check of a backend server is under way, and one that went well counts
 * for a while.
 */
final class PathChecker {
  /** How long the result of a check counts. */
  private static final Duration VALID = Duration.ofMillis(600);

  private final BiConsumer<BackendServer, Consumer<Boolean>> connect;
  private final Map<String, Check> checks = new HashMap<>();

  /**
   * A checker.
   *
   * @param connect opens a connection and tells whether it came about
   */
  PathChecker(BiConsumer<BackendServer, Consumer<Boolean>> connect) {
    this.connect = connect;
  }

  /** Whether the path is known to be lost; begins a check where nothing is known. */
  boolean lost(BackendServer server, long nowNanos) {
    Check last = checks.get(server.incarnation());
    if (last != null && (last.underWay || nowNanos - last.endedNanos < VALID.toNanos())) {
      return last.lost;
    }
    Check next = new Check();
    next.lost = last != null && last.lost;
    checks.put(server.incarnation(), next);
    connect.accept(
        server,
        reached -> {
          next.underWay = false;
          next.lost = !reached;
          next.endedNanos = nowNanos;
        });
    return next.lost;
  }

  /** Forgets backend servers that are gone. */
  void retain(Set<String> incarnations) {
    checks.keySet().retainAll(incarnations);
  }

  /** A check under way or its result. */
  private static final class Check {
    private boolean underWay = true;
    private boolean lost;
    private long endedNanos;
  }
}
