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
 * The permits that this entry holds or has asked for.
 *
 * <p>Invariant: a permit stands here from before its ask is sent until its request has ended, so a
 * new owner learns of every permit that an earlier one may have granted. Thread-safe.
 */
final class HeldPermits {
  private final Map<Long, Entry> held = new ConcurrentHashMap<>();
  private final AtomicLong lastId = new AtomicLong();
  private final Ticker monotonic;

  /** One permit and when it ends by this entry's monotonic clock; immutable. */
  private record Entry(String backendServer, long endNanos) {}

  HeldPermits(Ticker monotonic) {
    this.monotonic = monotonic;
  }

  /** Notes a permit that is about to be asked for. */
  HeldPermit add(String backendServer, Duration timeLeft) {
    long id = lastId.incrementAndGet();
    held.put(id, new Entry(backendServer, monotonic.read() + timeLeft.toNanos()));
    return new HeldPermit(backendServer, id, timeLeft.toMillis() + 1);
  }

  void remove(long id) {
    held.remove(id);
  }

  /** Whether the permit's end has not come. */
  boolean isSafe(long id) {
    Entry entry = held.get(id);
    return entry != null && entry.endNanos() - monotonic.read() > 0;
  }

  /** Everything that is held, with the time until it ends. */
  List<HeldPermit> all() {
    return held.entrySet().stream().map(e -> toWire(e.getKey(), e.getValue())).toList();
  }

  private HeldPermit toWire(long id, Entry entry) {
    long endsInMs = TimeUnit.NANOSECONDS.toMillis(entry.endNanos() - monotonic.read());
    return new HeldPermit(entry.backendServer(), id, Math.max(0, endsInMs) + 1);
  }
}
