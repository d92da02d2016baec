package org.guavagw.cli.bench.control;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Suspends the bench thread for a duration. Stateless. */
final class Pause {
  private Pause() {}

  static void sleep(Duration duration) {
    long endNs = System.nanoTime() + duration.toNanos();
    while (System.nanoTime() - endNs < 0) {
      LockSupport.parkNanos(endNs - System.nanoTime());
    }
  }
}
