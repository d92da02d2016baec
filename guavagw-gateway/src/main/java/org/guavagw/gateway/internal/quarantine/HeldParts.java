package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * The prompt parts that are kept away from backend servers, by this entry's evidence or by that of
 * others. A part is held for a while; then one entry lets one request through as a test. Not
 * thread-safe.
 */
final class HeldParts {
  /** How much later than the entry before it in rank an entry tests, if that one has not. */
  private static final Duration TEST_STAGGER = Duration.ofSeconds(5);

  /** How long a hold that another entry reported lasts; it is reported several times meanwhile. */
  private static final Duration REPORTED_HOLD = Duration.ofSeconds(3);

  private final IntSupplier rank;
  private final QuarantineListener listener;
  private final Map<String, Hold> holds = new HashMap<>();
  private final Map<String, Long> reportedEndNanos = new HashMap<>();

  /**
   * Creates holds of no parts.
   *
   * @param rank rank of this entry among those that test; 0 tests first
   */
  HeldParts(IntSupplier rank, QuarantineListener listener) {
    this.rank = rank;
    this.listener = listener;
  }

  boolean isEmpty() {
    return holds.isEmpty() && reportedEndNanos.isEmpty();
  }

  boolean contains(String part) {
    return holds.containsKey(part) || reportedEndNanos.containsKey(part);
  }

  int count() {
    return holds.size() + reportedEndNanos.size();
  }

  /** Returns the parts that are held by this entry's own evidence. */
  Set<String> own() {
    return holds.keySet();
  }

  /** Returns the parts that are held because other entries hold them. */
  Set<String> reported() {
    return reportedEndNanos.keySet();
  }

  /** Holds exactly these parts from now on by this entry's own evidence. */
  void update(Set<String> culprits, long nowNanos) {
    List<String> released = holds.keySet().stream().filter(p -> !culprits.contains(p)).toList();
    released.forEach(
        part -> {
          holds.remove(part);
          listener.onPartReleased(part);
        });
    for (String part : culprits) {
      if (!holds.containsKey(part)) {
        holds.put(part, new Hold(nowNanos));
        listener.onPartHeld(part, RequestQuarantine.FIRST_HOLD);
      }
    }
  }

  /** Holds a part that another entry holds. */
  void onReported(String part, long nowNanos) {
    reportedEndNanos.put(part, nowNanos + REPORTED_HOLD.toNanos());
  }

  /** Releases the parts that are held because of other entries and for which this is true. */
  void removeReportedIf(Predicate<String> released) {
    reportedEndNanos.keySet().removeIf(released);
  }

  void expire(long nowNanos) {
    reportedEndNanos.values().removeIf(end -> end - nowNanos <= 0);
  }

  /** Records that another server ended under some parts. */
  void onServerEnded(Collection<String> parts, long nowNanos) {
    parts.stream()
        .map(holds::get)
        .filter(Objects::nonNull)
        .forEach(hold -> hold.onServerEnded(nowNanos));
  }

  /** Returns the time until a request with these parts may be sent; empty if it may be now. */
  Optional<Duration> untilTest(List<String> parts, long nowNanos) {
    if (isEmpty()) {
      return Optional.empty();
    }
    return parts.stream()
        .map(p -> remainingNanos(p, nowNanos))
        .max(Comparator.naturalOrder())
        .filter(nanos -> nanos > 0)
        .map(Duration::ofNanos);
  }

  private long remainingNanos(String part, long nowNanos) {
    Hold hold = holds.get(part);
    if (hold != null) {
      return hold.testNanos() + rank.getAsInt() * TEST_STAGGER.toNanos() - nowNanos;
    }
    Long reportedEnd = reportedEndNanos.get(part);
    return reportedEnd == null ? 0 : reportedEnd - nowNanos;
  }

  /** Records that a request is sent; returns whether it is the test of a held part. */
  boolean onSent(List<String> parts, long nowNanos) {
    List<Hold> tested = parts.stream().map(holds::get).filter(Objects::nonNull).toList();
    tested.forEach(hold -> hold.onTested(nowNanos));
    return !tested.isEmpty();
  }
}
