package org.guavagw.platform.internal.http;

import java.time.InstantSource;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Generates the initial versions of rows. The high bits hold the wall-clock time, so that a row
 * written again after a delete gets a higher version than before. The low bits are random, so that
 * clients with equal clocks generate different versions. Thread-safe.
 */
final class InitialRowVersions {
  private static final int RANDOM_BITS = 20;

  private final InstantSource wallClock;

  InitialRowVersions(InstantSource wallClock) {
    this.wallClock = wallClock;
  }

  long generate() {
    return (wallClock.millis() << RANDOM_BITS)
        | ThreadLocalRandom.current().nextInt(1 << RANDOM_BITS);
  }
}
