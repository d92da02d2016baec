package org.guavagw.internal.placement;

import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.CircuitBreaker;

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

  synchronized void onFinished(String backendId, AttemptOutcome.Kind kind, long nowNanos) {
    if (kind == AttemptOutcome.Kind.UNREACHABLE) {
      boolean another = !backendId.equals(lastFailed);
      lastFailed = backendId;
      circuit.onFinished(another ? kind : AttemptOutcome.Kind.CANCELLED, nowNanos);
      return;
    }
    boolean reached = kind != AttemptOutcome.Kind.CANCELLED;
    lastFailed = reached ? "" : lastFailed;
    circuit.onFinished(reached ? AttemptOutcome.Kind.COMPLETED : kind, nowNanos);
  }
}
