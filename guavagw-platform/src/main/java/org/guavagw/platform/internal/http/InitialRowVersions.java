package org.guavagw.platform.internal.http;

import java.time.InstantSource;
import java.util.concurrent.ThreadLocalRandom;

/**
 * First versions of rows. A row that is written again after a delete starts above its old versions,
 * as the first version holds the wall time in its high bits; random low bits keep clients with
 * equal clocks apart. Thread-safe.
 */
final class InitialRowVersions {
  private static final int RANDOM_BITS = 20;

  private final InstantSource wall;

  InitialRowVersions(InstantSource wall) {
    this.wall = wall;
  }

  long first() {
    return (wall.millis() << RANDOM_BITS) | ThreadLocalRandom.current().nextInt(1 << RANDOM_BITS);
  }
}
