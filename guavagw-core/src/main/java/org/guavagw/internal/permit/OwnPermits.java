package org.guavagw.internal.permit;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.internal.permit.PermitMessage.HeldPermit;

/**
 * The permits that this entry holds or has requested.
 *
 * <p>Invariant: a permit is contained from before its request to the owner is sent until it is
 * given back, so a new owner learns of every permit that an earlier owner may have granted.
 * Thread-safe.
 */
final class OwnPermits {
  private final Map<Long, TimedPermit> held = new ConcurrentHashMap<>();
  private final AtomicLong lastId = new AtomicLong();
  private final Ticker monotonic;

  /** A permit and its end on this entry's monotonic clock. Immutable. */
  private record TimedPermit(String backendServer, long endNanos) {}

  OwnPermits(Ticker monotonic) {
    this.monotonic = monotonic;
  }

  /** Adds a permit that is about to be requested. */
  HeldPermit add(String backendServer, Duration timeLeft) {
    long id = lastId.incrementAndGet();
    held.put(id, new TimedPermit(backendServer, monotonic.read() + timeLeft.toNanos()));
    return new HeldPermit(backendServer, id, timeLeft.toMillis() + 1);
  }

  void remove(long id) {
    held.remove(id);
  }

  /** Returns whether the permit is held and has not ended. */
  boolean isSafe(long id) {
    TimedPermit permit = held.get(id);
    return permit != null && permit.endNanos() - monotonic.read() > 0;
  }

  /** Returns all permits with the time until each ends. */
  List<HeldPermit> all() {
    return held.entrySet().stream().map(e -> toMessage(e.getKey(), e.getValue())).toList();
  }

  private HeldPermit toMessage(long id, TimedPermit permit) {
    long endsInMs = TimeUnit.NANOSECONDS.toMillis(permit.endNanos() - monotonic.read());
    return new HeldPermit(permit.backendServer(), id, Math.max(0, endsInMs) + 1);
  }
}
