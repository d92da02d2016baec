package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.guavagw.gateway.model.BackendServer;

/**
 * Checks whether silent backend servers can be reached. Traffic thread only.
 *
 * <p>Invariant: at most one check of a backend server is in progress, and its result is reused for
 * a while.
 */
final class ReachabilityChecker {
  /** How long the result of a check is reused. */
  private static final Duration RESULT_VALIDITY = Duration.ofMillis(600);

  private final BiConsumer<BackendServer, Consumer<Boolean>> check;
  private final Map<String, Check> checks = new HashMap<>();

  /**
   * Creates a checker.
   *
   * @param check finds out whether a server can be reached
   */
  ReachabilityChecker(BiConsumer<BackendServer, Consumer<Boolean>> check) {
    this.check = check;
  }

  /**
   * Returns whether the last check found the backend server unreachable; starts a new check if
   * there is none yet or its result has expired.
   */
  boolean isUnreachable(BackendServer server, long nowNanos) {
    Check last = checks.get(server.incarnation());
    if (last != null
        && (last.inProgress || nowNanos - last.startedNanos < RESULT_VALIDITY.toNanos())) {
      return last.unreachable;
    }
    Check next = new Check();
    next.unreachable = last != null && last.isUnreachableUntilCheckedAnew(nowNanos);
    checks.put(server.incarnation(), next);
    check.accept(
        server,
        reachable -> {
          next.inProgress = false;
          next.unreachable = !reachable;
          next.startedNanos = nowNanos;
        });
    return next.unreachable;
  }

  /** Removes the results of backend servers that no longer exist. */
  void retain(Set<String> incarnations) {
    checks.keySet().retainAll(incarnations);
  }

  /** A check in progress or its result. */
  private static final class Check {
    private boolean inProgress = true;
    private boolean unreachable;
    private long startedNanos;

    /** Returns whether the server was unreachable so recently that it is likely to be so still. */
    boolean isUnreachableUntilCheckedAnew(long nowNanos) {
      return unreachable && nowNanos - startedNanos < 2 * RESULT_VALIDITY.toNanos();
    }
  }
}
