package org.guavagw.internal.lease;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers since when this process has seen the current version of each row that others hold.
 *
 * <p>A row counts as lapsed only after its whole duration on this process's monotonic clock, from
 * the end of the read that first showed this version. Confined to its service's lock.
 */
final class LeaseObservations {
  private final Map<String, Observation> seen = new HashMap<>();
  private final Ticker ticker;

  LeaseObservations(Ticker ticker) {
    this.ticker = ticker;
  }

  boolean hasLapsed(String name, long version, Duration duration) {
    long now = ticker.read();
    Observation old = seen.get(name);
    if (old == null || old.version != version) {
      seen.put(name, new Observation(version, now));
      return false;
    }
    return now - old.sinceNanos >= duration.toNanos();
  }

  void forget(String name) {
    seen.remove(name);
  }

  /** First sight of one version of a row. Immutable. */
  private record Observation(long version, long sinceNanos) {}
}
