package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.guavagw.internal.limits.EventRate;

/**
 * The rate at which room for requests of a service becomes free for this entry: measured while
 * requests have been waiting for a time, and before that derived from the running requests and
 * their durations. Traffic thread only.
 */
final class DrainRate {
  private static final Duration MEASURING_TIME = Duration.ofSeconds(2);
  private static final double NANOS_PER_SECOND = 1e9;

  private final RunTimes runTimes;
  private final Map<String, Integer> runningByRoute = new HashMap<>();
  private final EventRate starts = new EventRate(MEASURING_TIME.toNanos());
  private boolean waiting;
  private long waitingSinceNanos;
  private int running;
  private double sharePerSecond = Double.POSITIVE_INFINITY;

  DrainRate(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  int running() {
    return running;
  }

  void onStarted(String route, long nowNanos) {
    running++;
    runningByRoute.merge(route, 1, Integer::sum);
    starts.onEvent(nowNanos);
  }

  void onEnded(String route) {
    running--;
    runningByRoute.computeIfPresent(route, (r, count) -> count > 1 ? count - 1 : null);
  }

  /** Records whether requests wait. */
  void setWaiting(boolean nowWaiting, long nowNanos) {
    if (nowWaiting && !waiting) {
      waitingSinceNanos = nowNanos;
    }
    waiting = nowWaiting;
  }

  /** Sets the rate that this entry's share of the servers allows; infinite if it has no limit. */
  void setShare(double perSecond) {
    sharePerSecond = perSecond;
  }

  /** Returns the rate, or nothing if it is not known. */
  OptionalDouble perSecond(long nowNanos) {
    if (sharePerSecond < Double.POSITIVE_INFINITY) {
      return OptionalDouble.of(sharePerSecond);
    }
    boolean measured = waiting && nowNanos - waitingSinceNanos >= MEASURING_TIME.toNanos();
    double rate = measured ? starts.perSecond(nowNanos) : endsPerSecond();
    return rate > 0 ? OptionalDouble.of(rate) : OptionalDouble.empty();
  }

  /** Returns the rate at which the running requests are expected to end. */
  private double endsPerSecond() {
    double perSecond = 0;
    for (Map.Entry<String, Integer> entry : runningByRoute.entrySet()) {
      long runNanos = runTimes.runNanos(entry.getKey());
      perSecond += runNanos == 0 ? 0 : entry.getValue() * NANOS_PER_SECOND / runNanos;
    }
    return perSecond;
  }
}
