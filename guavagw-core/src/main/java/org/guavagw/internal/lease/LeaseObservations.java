package org.guavagw.internal.lease;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks since when this process has seen the current version of each lease row of other processes.
 *
 * <p>A lease counts as expired only after its full duration on this process's monotonic clock,
 * measured from the end of the read that first returned this version. Guarded by the lock of the
 * lease service.
 */
final class LeaseObservations {
  private final Map<String, Observation> observations = new HashMap<>();
  private final Ticker ticker;

  LeaseObservations(Ticker ticker) {
    this.ticker = ticker;
  }

  boolean hasExpired(String name, long version, Duration duration) {
    long now = ticker.read();
    Observation old = observations.get(name);
    if (old == null || old.version != version) {
      observations.put(name, new Observation(version, now));
      return false;
    }
    return now - old.sinceNanos >= duration.toNanos();
  }

  void forget(String name) {
    observations.remove(name);
  }

  /** The first observation of a version of a row. Immutable. */
  private record Observation(long version, long sinceNanos) {}
}
