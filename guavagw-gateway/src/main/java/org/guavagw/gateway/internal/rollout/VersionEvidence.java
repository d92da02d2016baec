package org.guavagw.gateway.internal.rollout;

import java.util.HashMap;
import java.util.Map;
import org.guavagw.gateway.internal.peers.RouteTally;
import org.guavagw.internal.rollout.MixtureRatioTest;
import org.guavagw.internal.rollout.SequentialTest;
import org.guavagw.internal.rollout.Tally;

/**
 * Compares the answers of a new version with those of the versions that it replaces, over all
 * entries.
 *
 * <p>Answers versions that fail or are slow from the start, later, under load or on one route: each
 * route is judged by itself and all together. Not thread-safe.
 */
final class VersionEvidence {
  /** Logarithm of the evidence against chance at which a version is called bad. */
  private static final double ALARM_LOG_EVIDENCE = Math.log(100);

  /** Difference in the share of failures that counts as none. */
  private static final double FAILURE_MARGIN = 0.03;

  /** Difference in the share of slow answers that counts as none. */
  private static final double SLOW_MARGIN = 0.15;

  /** An answer is slow when it takes this many times as long as usual for its kind of work. */
  private static final double SLOW_FACTOR = 3;

  /** Times below this are never slow: they say more about the network than about the version. */
  private static final double MIN_SLOW_MILLIS = 150;

  /** Weight of the newest time in the running mean of the old versions. */
  private static final double TIME_WEIGHT = 0.1;

  private static final int MIN_BAD = 3;
  private static final String ALL_ROUTES = "*";

  private final SequentialTest test = new MixtureRatioTest();
  private final Map<String, RouteTally> own = new HashMap<>();
  private final Map<String, Map<String, RouteTally>> others = new HashMap<>();
  private final Map<String, Double> usualMillis = new HashMap<>();
  private boolean changed;
  private boolean worse;

  void onFailure(String route, boolean onNew) {
    merge(route, RouteTally.NONE.with(onNew, true));
    worse |= onNew;
  }

  void onSuccess(String route, String work, double millis, boolean onNew) {
    merge(route, RouteTally.NONE.with(onNew, false));
    Double usual = usualMillis.get(work);
    if (usual != null) {
      boolean slow = millis > MIN_SLOW_MILLIS && millis > SLOW_FACTOR * usual;
      merge(route, RouteTally.NONE.withTime(onNew, slow));
      worse |= onNew && slow;
    }
    if (!onNew) {
      usualMillis.merge(work, millis, (mean, ms) -> mean + TIME_WEIGHT * (ms - mean));
    }
  }

  private void merge(String route, RouteTally more) {
    own.merge(route, more, RouteTally::plus);
    changed = true;
  }

  /** Takes all that another entry has seen. */
  void onReport(String entry, Map<String, RouteTally> routes) {
    others.put(entry, routes);
  }

  /** What this entry has seen. */
  Map<String, RouteTally> own() {
    return own;
  }

  /** Whether this entry saw the new version do badly since it was last asked. */
  boolean takeWorse() {
    boolean was = worse;
    worse = false;
    return was;
  }

  /** Whether this entry saw anything since it was last asked. */
  boolean takeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  /** Whether the new version is worse than chance explains. */
  boolean alarming() {
    return pooled().values().stream().anyMatch(this::alarming);
  }

  RouteTally total() {
    return pooled().getOrDefault(ALL_ROUTES, RouteTally.NONE);
  }

  private Map<String, RouteTally> pooled() {
    Map<String, RouteTally> sum = new HashMap<>(own);
    others.values().forEach(seen -> seen.forEach((r, t) -> sum.merge(r, t, RouteTally::plus)));
    RouteTally all = sum.values().stream().reduce(RouteTally.NONE, RouteTally::plus);
    sum.put(ALL_ROUTES, all);
    return sum;
  }

  private boolean alarming(RouteTally t) {
    Tally newFailures = new Tally(t.newAnswers(), t.newFailed());
    Tally oldFailures = new Tally(t.oldAnswers(), t.oldFailed());
    Tally newSlow = new Tally(t.newTimed(), t.newSlow());
    Tally oldSlow = new Tally(t.oldTimed(), t.oldSlow());
    return alarming(newFailures, oldFailures, FAILURE_MARGIN)
        || alarming(newSlow, oldSlow, SLOW_MARGIN);
  }

  private boolean alarming(Tally suspect, Tally reference, double margin) {
    return suspect.bad() >= MIN_BAD
        && test.logEvidence(suspect, reference, margin) >= ALARM_LOG_EVIDENCE;
  }
}
