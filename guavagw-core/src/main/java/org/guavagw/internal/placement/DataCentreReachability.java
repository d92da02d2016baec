package org.guavagw.internal.placement;

import org.guavagw.internal.limits.CircuitBreaker;
import org.guavagw.internal.limits.Outcome;

/**
 * Reachability of a data centre from this entry. Only consecutive failures of different backend
 * servers count, so that a single failed server does not make the data centre unreachable.
 * Thread-safe.
 */
final class DataCentreReachability {
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
