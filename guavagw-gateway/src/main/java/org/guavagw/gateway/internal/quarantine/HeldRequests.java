package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The requests that are not sent to backend servers any more, by fingerprint, until the evidence
 * against them is old. They are never tested: a request that is harmless after all concerns one
 * caller, and a test costs a backend server.
 *
 * <p>Entries report their holds, so that one that restarts learns them. Invariant: a hold that was
 * learned ends before the one that was reported, so that entries can't prolong it by reporting it
 * to one another. Not thread-safe.
 */
final class HeldRequests {
  /** Time from the last end of a server under a request to the end of its hold. */
  static final Duration HOLD = CrashEvidence.MEMORY;

  /** More than a notice takes on its way. */
  private static final Duration NOTICE_MARGIN = Duration.ofSeconds(5);

  /** Remaining times are rounded down to this, so that notices seldom change. */
  private static final int NOTICE_STEP_SECONDS = 10;

  private static final int MAX_HELD = 1000;

  private final Map<String, Long> endNanos = new HashMap<>();

  boolean isEmpty() {
    return endNanos.isEmpty();
  }

  boolean contains(String fingerprint) {
    return endNanos.containsKey(fingerprint);
  }

  int count() {
    return endNanos.size();
  }

  /** Returns the remaining time of a hold; empty if the request is not held. */
  Optional<Duration> remaining(String fingerprint, long nowNanos) {
    return Optional.ofNullable(endNanos.get(fingerprint))
        .map(end -> Duration.ofNanos(end - nowNanos))
        .filter(left -> !left.isNegative() && !left.isZero());
  }

  /** Begins a hold unless there is one; returns whether it is new. */
  boolean hold(String fingerprint, Duration length, long nowNanos) {
    return endNanos.size() < MAX_HELD
        && endNanos.putIfAbsent(fingerprint, nowNanos + length.toNanos()) == null;
  }

  /** Returns the remaining seconds of all holds as they are passed on. */
  Map<String, Integer> notices(long nowNanos) {
    Map<String, Integer> seconds = new HashMap<>();
    endNanos.forEach(
        (fingerprint, end) -> {
          long left = Duration.ofNanos(end - nowNanos).minus(NOTICE_MARGIN).toSeconds();
          int rounded = (int) (left - left % NOTICE_STEP_SECONDS);
          if (rounded > 0) {
            seconds.put(fingerprint, rounded);
          }
        });
    return seconds;
  }

  /** Ends the holds for which this is true and returns their fingerprints. */
  List<String> removeIf(Predicate<String> released) {
    List<String> removed = endNanos.keySet().stream().filter(released).toList();
    removed.forEach(endNanos::remove);
    return removed;
  }

  /** Removes the holds that are over. */
  void expire(long nowNanos) {
    endNanos.values().removeIf(end -> end - nowNanos <= 0);
  }
}
