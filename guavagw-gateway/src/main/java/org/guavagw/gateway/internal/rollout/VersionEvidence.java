package org.guavagw.gateway.internal.rollout;

import java.util.HashMap;
import java.util.Map;
import org.guavagw.internal.rollout.MixtureRatioTest;
import org.guavagw.internal.rollout.SequentialTest;
import org.guavagw.internal.rollout.Tally;

/**
 * Compares the answers of a new version with those of the versions that it replaces.
 *
 * <p>Answers versions that fail or are slow from the start, later, under load or on one route: each
 * route is judged by itself and all together. Not thread-safe.
 */
final class VersionEvidence {
  /** Chance of a false alarm for each of the few judgements that are looked at. */
  private static final double ALARM_LOG_EVIDENCE = Math.log(200);

  /** Difference in the share of failures that counts as none. */
  private static final double FAILURE_MARGIN = 0.03;

  /** Difference in the share of slow answers that counts as none. */
  private static final double SLOW_MARGIN = 0.15;

  /** An answer is slow when it takes this many times as long as usual for its route. */
  private static final double SLOW_FACTOR = 3;

  /** Weight of the newest latency in the running mean of the old versions. */
  private static final double LATENCY_WEIGHT = 0.1;

  private static final double MIN_BAD = 3;
  private static final String ALL_ROUTES = "*";

  private final SequentialTest test = new MixtureRatioTest();
  private final Map<String, Tally> newFailures = new HashMap<>();
  private final Map<String, Tally> oldFailures = new HashMap<>();
  private final Map<String, Tally> newSlow = new HashMap<>();
  private final Map<String, Tally> oldSlow = new HashMap<>();
  private final Map<String, Double> oldLatency = new HashMap<>();

  void onFailure(String route, boolean onNew) {
    add(onNew ? newFailures : oldFailures, route, 1);
  }

  void onSuccess(String route, String work, double millis, boolean onNew) {
    add(onNew ? newFailures : oldFailures, route, 0);
    Double usual = oldLatency.get(work);
    if (usual != null) {
      add(onNew ? newSlow : oldSlow, route, millis > SLOW_FACTOR * usual ? 1 : 0);
    }
    if (!onNew) {
      oldLatency.merge(work, millis, (mean, ms) -> mean + LATENCY_WEIGHT * (ms - mean));
    }
  }

  /** Whether the new version is worse than chance explains. */
  boolean alarming() {
    return alarming(newFailures, oldFailures, FAILURE_MARGIN)
        || alarming(newSlow, oldSlow, SLOW_MARGIN);
  }

  double badAnswers() {
    return newFailures.getOrDefault(ALL_ROUTES, Tally.NONE).bad();
  }

  double answers() {
    return newFailures.getOrDefault(ALL_ROUTES, Tally.NONE).trials();
  }

  private boolean alarming(
      Map<String, Tally> suspect, Map<String, Tally> reference, double margin) {
    return suspect.entrySet().stream()
        .filter(e -> e.getValue().bad() >= MIN_BAD)
        .anyMatch(
            e ->
                test.logEvidence(
                        e.getValue(), reference.getOrDefault(e.getKey(), Tally.NONE), margin)
                    >= ALARM_LOG_EVIDENCE);
  }

  private static void add(Map<String, Tally> tallies, String route, double badness) {
    tallies.merge(route, Tally.NONE.with(badness), Tally::plus);
    tallies.merge(ALL_ROUTES, Tally.NONE.with(badness), Tally::plus);
  }
}
