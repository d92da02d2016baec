package org.guavagw.internal.lifecycle;

import java.time.Duration;

/**
 * Counts requests under way and stops new ones from entering. Thread-safe.
 *
 * <p>Once closed, it never opens again.
 */
public final class InFlight {
  private int count;
  private boolean closed;

  /** Lets a request in, unless closed. */
  public synchronized boolean tryEnter() {
    if (closed) {
      return false;
    }
    count++;
    return true;
  }

  /** Notes that a request has ended. */
  public synchronized void leave() {
    count--;
    notifyAll();
  }

  /** How many requests are under way. */
  public synchronized int count() {
    return count;
  }

  /** Lets no further request in. */
  public synchronized void close() {
    closed = true;
  }

  /** Waits until no request is under way, and says whether that came about in time. */
  public synchronized boolean awaitNone(Duration limit) throws InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (count > 0) {
      long leftMs = (deadline - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        return false;
      }
      wait(leftMs);
    }
    return true;
  }
}
