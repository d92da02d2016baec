package org.guavagw.internal.lifecycle;

import java.time.Duration;

/**
 * Counts in-flight requests and rejects new ones after it was closed. Thread-safe.
 *
 * <p>It cannot be reopened.
 */
public final class InFlightRequests {
  private int count;
  private boolean closed;

  /** Counts a new request; returns false, without counting it, if closed. */
  public synchronized boolean tryBegin() {
    if (closed) {
      return false;
    }
    count++;
    return true;
  }

  /** Records that a request has ended. */
  public synchronized void end() {
    count--;
    notifyAll();
  }

  /** Returns the number of in-flight requests. */
  public synchronized int count() {
    return count;
  }

  /** Stops admitting requests. */
  public synchronized void close() {
    closed = true;
  }

  /**
   * Waits until no request is in flight, or the limit is over, and stops admitting requests at that
   * very moment, so that none can begin afterwards. Returns whether no request is in flight.
   */
  public synchronized boolean closeWhenNone(Duration limit) throws InterruptedException {
    boolean none = awaitNone(limit);
    closed = true;
    return none;
  }

  /** Waits until no request is in flight; returns whether that happened within the limit. */
  public synchronized boolean awaitNone(Duration limit) throws InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (count > 0) {
      long remainingMs = (deadline - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        return false;
      }
      wait(remainingMs);
    }
    return true;
  }
}
