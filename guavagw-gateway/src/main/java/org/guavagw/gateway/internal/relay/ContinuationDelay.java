package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Time after which a stream is tried again that no backend server and no other entry could
 * continue. It is random, so that streams that were lost together don't all come at once.
 * Stateless.
 */
final class ContinuationDelay {
  /** No shorter than the time in which this entry learns that servers are reachable again. */
  static final Duration MIN = BackendConnectivity.PROBE_PERIOD;

  static final Duration MAX = MIN.multipliedBy(2);

  private ContinuationDelay() {}

  static Duration next() {
    return Duration.ofNanos(ThreadLocalRandom.current().nextLong(MIN.toNanos(), MAX.toNanos()));
  }
}
