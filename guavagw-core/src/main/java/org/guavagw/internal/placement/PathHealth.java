package org.guavagw.internal.placement;

import org.guavagw.internal.limits.CircuitBreaker;
import org.guavagw.internal.limits.Outcome;

/**
 * Whether a data centre can be reached from this entry. Only failures of different backend servers
 * one after another count, so that a single dead one does not close the path. Thread-safe.
 */
final class PathHealth {
  private final CircuitBreaker circuit = new CircuitBreaker();
  private String lastFailed = "";

  boolean allows(long nowNanos) {
    return circuit.allows(nowNanos);
  }

  void onDispatched(long nowNanos) {
    circuit.onDispatched(nowNanos);
  }

  synchronized void onFinished(String backendId, Outcome.Kind kind, long nowNanos) {
    if (kind == Outcome.Kind.UNREACHABLE) {
      boolean another = !backendId.equals(lastFailed);
      lastFailed = backendId;
      circuit.onFinished(another ? kind : Outcome.Kind.CANCELLED, nowNanos);
      return;
    }
    boolean reached = kind != Outcome.Kind.CANCELLED;
    lastFailed = reached ? "" : lastFailed;
    circuit.onFinished(reached ? Outcome.Kind.COMPLETED : kind, nowNanos);
  }
}
