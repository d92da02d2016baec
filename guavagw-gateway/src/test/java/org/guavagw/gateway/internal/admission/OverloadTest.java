package org.guavagw.gateway.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.guavagw.gateway.internal.admission.SimulatedEntries.Call;
import org.guavagw.gateway.internal.admission.SimulatedEntries.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays a minute of overload by three teams, one of which sends most, with a more urgent route that
 * alone fits. The bounds are those that operators state.
 */
class OverloadTest {
  private static final Kind URGENT = new Kind("urgent", "calm", 0);
  private static final List<Kind> OTHERS =
      List.of(new Kind("r", "a", 5), new Kind("r", "b", 5), new Kind("r", "c", 5));

  /** Parts of the less urgent requests that each of the teams sends. */
  private static final double[] PARTS = {0.6, 0.25, 0.15};

  private static final double URGENT_LOAD = 0.5;
  private static final double CALM_LOAD = 0.7;
  private static final Duration CALM_TIME = Duration.ofSeconds(10);
  private static final Duration OVERLOAD_TIME = Duration.ofSeconds(60);
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(2);

  private long overloadNanos;
  private long calmNanos;
  private SimulatedEntries entries;

  @ParameterizedTest
  @ValueSource(doubles = {1.3, 2, 3})
  void shouldServeWhatFitsAtOneEntry(double overload) {
    playAndCheck(1, overload, false);
  }

  @ParameterizedTest
  @CsvSource({
    "8, 2, false", "8, 3, false", "8, 2, true", "8, 3, true",
    "24, 2, false", "24, 3, false", "24, 2, true", "24, 3, true"
  })
  void shouldServeWhatFitsAtManyEntries(int count, double overload, boolean lateReports) {
    playAndCheck(count, overload, lateReports);
  }

  @ParameterizedTest
  @CsvSource({"8, false", "8, true", "24, false", "24, true"})
  void shouldServeWhatFitsAtManyEntriesNearCapacity(int count, boolean lateReports) {
    playAndCheck(count, 1.3, lateReports);
  }

  private void playAndCheck(int count, double overload, boolean lateReports) {
    play(count, overload, lateReports);

    assertThat(goodput()).isGreaterThanOrEqualTo(0.95);
    assertThat(urgentInTime()).isGreaterThanOrEqualTo(0.99);
    assertThat(smallestPartOfFairShare(overload)).isGreaterThanOrEqualTo(0.9);
    assertThat(smallestServiceRatio()).isGreaterThanOrEqualTo(0.25);
    assertThat(refusedWithin(Duration.ofMillis(50))).isGreaterThanOrEqualTo(0.99);
    assertThat(count(c -> c.heldNanos() > SimulatedEntries.OBJECTIVE.toNanos() / 8)).isZero();
    assertThat(refusedAfterRecovery()).isZero();
    assertThat(entries.entries()).allMatch(e -> e.scheduler.waiting() == 0 && e.running() == 0);
  }

  private void play(int count, double overload, boolean lateReports) {
    entries = new SimulatedEntries(count, lateReports, 1);
    long start = entries.now();
    overloadNanos = start + CALM_TIME.toNanos();
    calmNanos = overloadNanos + OVERLOAD_TIME.toNanos();
    long endNanos = calmNanos + CALM_TIME.toNanos();
    send(CALM_LOAD, overloadNanos);
    entries.runUntil(overloadNanos);
    send(overload, calmNanos);
    entries.runUntil(calmNanos);
    send(CALM_LOAD, endNanos);
    entries.runUntil(endNanos + SimulatedEntries.DEADLINE.toNanos());
  }

  private void send(double load, long untilNanos) {
    entries.send(URGENT, URGENT_LOAD * SimulatedEntries.capacity(), untilNanos);
    for (int i = 0; i < PARTS.length; i++) {
      double rate = (load - URGENT_LOAD) * PARTS[i] * SimulatedEntries.capacity();
      entries.send(OTHERS.get(i), rate, untilNanos);
    }
  }

  /** Returns the answers before their deadline relative to capacity, in the worst ten seconds. */
  private double goodput() {
    double worst = Double.MAX_VALUE;
    for (long t = overloadNanos; t < calmNanos; t += CALM_TIME.toNanos()) {
      long begin = t;
      long served =
          entries.calls.stream()
              .filter(c -> c.answeredNanos >= begin)
              .filter(c -> c.answeredNanos < begin + CALM_TIME.toNanos())
              .filter(c -> c.answeredWithin(SimulatedEntries.DEADLINE))
              .count();
      worst = Math.min(worst, served / (SimulatedEntries.capacity() * CALM_TIME.toSeconds()));
    }
    return worst;
  }

  private double urgentInTime() {
    return (double)
            count(c -> c.kind.equals(URGENT) && c.answeredWithin(SimulatedEntries.OBJECTIVE))
        / count(c -> c.kind.equals(URGENT));
  }

  private double smallestPartOfFairShare(double overload) {
    double[] demands = new double[PARTS.length];
    for (int i = 0; i < PARTS.length; i++) {
      demands[i] = (overload - URGENT_LOAD) * PARTS[i];
    }
    double smallest = 1;
    for (int i = 0; i < PARTS.length; i++) {
      double[] others = new double[PARTS.length - 1];
      for (int j = 0, k = 0; j < PARTS.length; j++) {
        if (j != i) {
          others[k++] = demands[j];
        }
      }
      double fair = Math.min(demands[i], MaxMinShares.ofUnbounded(others, 1 - URGENT_LOAD));
      Kind kind = OTHERS.get(i);
      double served =
          count(c -> c.kind.equals(kind) && c.answeredNanos != 0)
              / (SimulatedEntries.capacity() * OVERLOAD_TIME.toSeconds());
      smallest = Math.min(smallest, served / fair);
    }
    return smallest;
  }

  private double smallestServiceRatio() {
    double all = (double) count(c -> c.answeredNanos != 0) / count(c -> true);
    return OTHERS.stream()
            .mapToDouble(
                k ->
                    (double) count(c -> c.kind.equals(k) && c.answeredNanos != 0)
                        / count(c -> c.kind.equals(k)))
            .min()
            .orElseThrow()
        / all;
  }

  private double refusedWithin(Duration time) {
    long refused = count(c -> c.refusedNanos != 0);
    return refused == 0
        ? 1
        : (double) count(c -> c.refusedNanos != 0 && c.heldNanos() <= time.toNanos()) / refused;
  }

  private long refusedAfterRecovery() {
    return entries.calls.stream()
        .filter(c -> c.sentNanos >= calmNanos + RECOVERY_TIME.toNanos())
        .filter(c -> c.refusedNanos != 0)
        .count();
  }

  /** Counts the requests sent during the overload that meet a condition. */
  private long count(Predicate<Call> condition) {
    return entries.calls.stream()
        .filter(c -> c.sentNanos >= overloadNanos && c.sentNanos < calmNanos)
        .filter(condition)
        .count();
  }
}
