package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import java.time.Duration;
import org.guavagw.gateway.model.Route;

/**
 * Tracks whether this entry is shutting down and which requests it can still finish.
 *
 * <p>Handles load balancers that keep sending callers to an entry after it has announced its
 * shutdown. Thread-safe.
 */
final class GracefulShutdown {
  /** Callers may not have noticed the shutdown until then, so all their requests are admitted. */
  private static final Duration NOTICE_PERIOD = Duration.ofMillis(2500);

  private final Ticker ticker;
  private volatile boolean begun;
  private volatile boolean ended;
  private volatile long beginNanos;
  private volatile long limitNanos;

  GracefulShutdown(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Begins the shutdown; all requests must have ended when the limit is over. */
  void begin(Duration limit) {
    beginNanos = ticker.read();
    limitNanos = limit.toNanos();
    begun = true;
  }

  /** Admits nothing from now on, not even requests that waited to be served. */
  void end() {
    ended = true;
  }

  boolean begun() {
    return begun;
  }

  /** Returns whether a request of a route that arrives now is admitted. */
  boolean admits(Route route) {
    if (ended) {
      return false;
    }
    if (!begun) {
      return true;
    }
    long elapsed = ticker.read() - beginNanos;
    return elapsed < NOTICE_PERIOD.toNanos() || route.timeout().toNanos() < limitNanos - elapsed;
  }
}
