package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.guavagw.gateway.model.BackendServer;

/**
 * Spaces this entry's requests to each cold backend server.
 *
 * <p>Answers a data centre that returns at once: every entry keeps to its own share of what a cold
 * backend server tolerates, so that the sum over all entries holds while they cannot talk. Not
 * thread-safe.
 */
public final class ColdGate {
  private static final double MIN_PER_SECOND = 0.01;
  private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final ToDoubleFunction<BackendServer> perSecond;
  private final Map<String, Long> nextAllowed = new HashMap<>();

  /**
   * A gate.
   *
   * @param perSecond this entry's share of what a cold backend server tolerates each second
   */
  public ColdGate(ToDoubleFunction<BackendServer> perSecond) {
    this.perSecond = perSecond;
  }

  /** Whether a request may be sent now. */
  public boolean allows(BackendServer server, long nowNanos) {
    if (!server.coldAt(nowNanos)) {
      nextAllowed.remove(server.incarnation());
      return true;
    }
    Long next = nextAllowed.get(server.incarnation());
    boolean due = next == null || nowNanos - next >= 0;
    return due && perSecond.applyAsDouble(server) > 0;
  }

  /** Counts a request that is sent now. */
  public void onSent(BackendServer server, long nowNanos) {
    if (server.coldAt(nowNanos)) {
      long gap =
          (long) (NANOS_PER_SECOND / Math.max(perSecond.applyAsDouble(server), MIN_PER_SECOND));
      nextAllowed.put(server.incarnation(), nowNanos + gap);
    }
  }
}
