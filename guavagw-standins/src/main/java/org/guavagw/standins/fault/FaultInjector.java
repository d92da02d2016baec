package org.guavagw.standins.fault;

import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Faults to inject: a queue of faults for one call each, and a permanent fault for every call when
 * the queue is empty. Thread-safe.
 */
public final class FaultInjector<F> {
  private final Queue<F> queued = new ConcurrentLinkedQueue<>();
  private volatile Optional<F> permanent = Optional.empty();

  /** Queues a fault for one call; queued faults are used in order. */
  public void injectNext(F fault) {
    queued.add(fault);
  }

  /** Injects a fault into every call from now on. */
  public void injectAll(F fault) {
    permanent = Optional.of(fault);
  }

  /** Removes all faults. */
  public void clear() {
    queued.clear();
    permanent = Optional.empty();
  }

  /** Returns the fault for the current call, if any. */
  public Optional<F> take() {
    F fault = queued.poll();
    return fault == null ? permanent : Optional.of(fault);
  }
}
