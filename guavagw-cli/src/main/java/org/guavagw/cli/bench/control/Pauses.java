package org.guavagw.cli.bench.control;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Lets a phase of the bench last. Stateless. */
final class Pauses {
  private Pauses() {}

  static void pause(Duration duration) {
    long endNs = System.nanoTime() + duration.toNanos();
    while (System.nanoTime() - endNs < 0) {
      LockSupport.parkNanos(endNs - System.nanoTime());
    }
  }
}
