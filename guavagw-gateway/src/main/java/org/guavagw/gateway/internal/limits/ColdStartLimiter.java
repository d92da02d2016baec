package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.guavagw.gateway.model.BackendServer;

/**
 * Limits the rate of this entry's requests to each backend server during its cold start.
 *
 * <p>Protects the backend servers of a data centre that all return at the same time. Every entry
 * stays within its own share of the tolerated rate, so the total stays within the limit even while
 * entries cannot reach one another. Not thread-safe.
 */
public final class ColdStartLimiter {
  private static final double MIN_PER_SECOND = 0.01;
  private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final ToDoubleFunction<BackendServer> perSecond;
  private final Map<String, Long> nextAllowedNanos = new HashMap<>();

  /**
   * Creates a limiter.
   *
   * @param perSecond this entry's share of the request rate that a cold backend server tolerates
   */
  public ColdStartLimiter(ToDoubleFunction<BackendServer> perSecond) {
    this.perSecond = perSecond;
  }

  /** Returns whether a request may be sent now. */
  public boolean allows(BackendServer server, long nowNanos) {
    if (!server.coldAt(nowNanos)) {
      nextAllowedNanos.remove(server.incarnation());
      return true;
    }
    Long next = nextAllowedNanos.get(server.incarnation());
    boolean due = next == null || nowNanos - next >= 0;
    return due && perSecond.applyAsDouble(server) > 0;
  }

  /** Records that a request is sent now. */
  public void onSent(BackendServer server, long nowNanos) {
    if (server.coldAt(nowNanos)) {
      long gap =
          (long) (NANOS_PER_SECOND / Math.max(perSecond.applyAsDouble(server), MIN_PER_SECOND));
      nextAllowedNanos.put(server.incarnation(), nowNanos + gap);
    }
  }
}
