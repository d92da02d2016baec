package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import java.time.Duration;
import org.guavagw.gateway.model.Route;

/**
 * Whether this entry is about to stop, and which requests it can still finish.
 *
 * <p>Answers balancers that go on sending callers to an entry that said it stops. Thread-safe.
 */
final class Shutdown {
  /** Until then callers cannot know of the shutdown, so that all their requests are taken. */
  private static final Duration GRACE = Duration.ofMillis(2500);

  private final Ticker ticker;
  private volatile boolean begun;
  private volatile long beginNanos;
  private volatile long limitNanos;

  Shutdown(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Begins the shutdown; everything must have ended when the limit is over. */
  void begin(Duration limit) {
    beginNanos = ticker.read();
    limitNanos = limit.toNanos();
    begun = true;
  }

  boolean begun() {
    return begun;
  }

  /** Whether a request of a route that arrives now is taken. */
  boolean admits(Route route) {
    if (!begun) {
      return true;
    }
    long elapsed = ticker.read() - beginNanos;
    return elapsed < GRACE.toNanos() || route.timeout().toNanos() < limitNanos - elapsed;
  }
}
