package org.guavagw.standins.fault;

import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Faults that are due: a queue whose members hit one call each, and a standing one that hits every
 * call that the queue leaves. Thread-safe.
 */
public final class FaultInjector<F> {
  private final Queue<F> next = new ConcurrentLinkedQueue<>();
  private volatile Optional<F> standing = Optional.empty();

  /** Hits one call; several wait in order. */
  public void injectNext(F fault) {
    next.add(fault);
  }

  /** Hits every call from now on. */
  public void injectAll(F fault) {
    standing = Optional.of(fault);
  }

  /** Takes back what is due. */
  public void clear() {
    next.clear();
    standing = Optional.empty();
  }

  /** The fault of the call that asks, if any. */
  public Optional<F> take() {
    F fault = next.poll();
    return fault == null ? standing : Optional.of(fault);
  }
}
