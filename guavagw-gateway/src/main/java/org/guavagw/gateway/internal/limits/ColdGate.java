package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.guavagw.gateway.model.BackendServer;

/**
 * Spaces this entry's requests to each cold backend server.
 *
 * <p>Answers a data centre that returns at once: every entry keeps to its own share of what a cold
 * backend server tolerates, so that the sum over all entries holds while they cannot talk. Not
 * thread-safe.
 */
public final class ColdGate {
  private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final Map<String, Long> nextAllowed = new HashMap<>();

  /** Whether a request may be sent now. */
  public boolean allows(BackendServer server, long nowNanos) {
    if (!server.coldAt(nowNanos)) {
      nextAllowed.remove(server.incarnation());
      return true;
    }
    Long next = nextAllowed.get(server.incarnation());
    return next == null || nowNanos - next >= 0;
  }

  /**
   * Counts a request that is sent now.
   *
   * @param perSecond this entry's share of what the backend server tolerates
   */
  public void onSent(BackendServer server, double perSecond, long nowNanos) {
    if (server.coldAt(nowNanos)) {
      long gap = (long) (NANOS_PER_SECOND / Math.max(perSecond, 0.01));
      nextAllowed.put(server.incarnation(), nowNanos + gap);
    }
  }
}
