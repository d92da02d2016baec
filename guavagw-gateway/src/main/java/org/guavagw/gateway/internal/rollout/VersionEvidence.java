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
 * <p>Detects versions that fail or are slow from the start, later, under load, or on one route
 * only: each route is tested separately, and all routes together. Not thread-safe.
 */
final class VersionEvidence {
  /** Logarithm of the evidence against chance at which the new version counts as worse. */
  private static final double MIN_LOG_EVIDENCE = Math.log(100);

  /** Difference in the failure rate that is tolerated. */
  private static final double FAILURE_MARGIN = 0.03;

  /** Difference in the rate of slow answers that is tolerated. */
  private static final double SLOW_MARGIN = 0.15;

  /**
   * An answer is slow if it takes more than this many times the usual time for its kind of work.
   */
  private static final double SLOW_FACTOR = 3;

  /**
   * Answers faster than this are never slow; their times reflect the network more than the version.
   */
  private static final double MIN_SLOW_MILLIS = 150;

  /** Weight of the newest time in the moving average of the old versions' times. */
  private static final double AVERAGE_WEIGHT = 0.1;

  private static final int MIN_BAD_ANSWERS = 3;
  private static final String ALL_ROUTES = "*";

  private final SequentialTest test = new MixtureRatioTest();
  private final Map<String, RouteTally> local = new HashMap<>();
  private final Map<String, Map<String, RouteTally>> remoteByEntry = new HashMap<>();
  private final Map<String, Double> usualMillisByWorkKind = new HashMap<>();
  private boolean changed;
  private boolean badAnswerSeen;

  void onFailure(String route, boolean onNew) {
    addLocal(route, RouteTally.NONE.plusAnswer(onNew, true));
    badAnswerSeen |= onNew;
  }

  void onSuccess(String route, boolean onNew) {
    addLocal(route, RouteTally.NONE.plusAnswer(onNew, false));
  }

  /** Returns whether an answer that has not begun after this time counts as slow. */
  boolean isSlow(String workKind, double millis) {
    Double usual = usualMillisByWorkKind.get(workKind);
    return usual != null && millis > MIN_SLOW_MILLIS && millis > SLOW_FACTOR * usual;
  }

  /**
   * Records the time until an answer began, or until it was found to be slow. Answers that end are
   * no substitute: those of a slow version end late, or are given up before.
   */
  void onTiming(String route, String workKind, double millis, boolean onNew) {
    if (usualMillisByWorkKind.containsKey(workKind)) {
      boolean slow = isSlow(workKind, millis);
      addLocal(route, RouteTally.NONE.plusTiming(onNew, slow));
      badAnswerSeen |= onNew && slow;
    }
    if (!onNew) {
      usualMillisByWorkKind.merge(
          workKind, millis, (average, ms) -> average + AVERAGE_WEIGHT * (ms - average));
    }
  }

  private void addLocal(String route, RouteTally added) {
    local.merge(route, added, RouteTally::plus);
    changed = true;
  }

  /** Replaces the evidence of another entry by its newest report. */
  void onReport(String entry, Map<String, RouteTally> routes) {
    remoteByEntry.put(entry, routes);
  }

  /** Returns the tallies of this entry by route. */
  Map<String, RouteTally> local() {
    return local;
  }

  /** Returns whether this entry saw a bad answer of the new version since the last call. */
  boolean getAndClearBadAnswerSeen() {
    boolean before = badAnswerSeen;
    badAnswerSeen = false;
    return before;
  }

  /** Returns whether this entry saw any answer since the last call. */
  boolean getAndClearChanged() {
    boolean before = changed;
    changed = false;
    return before;
  }

  /** Returns whether the new version is worse than chance explains. */
  boolean isNewVersionWorse() {
    return pooled().values().stream().anyMatch(this::isNewVersionWorse);
  }

  RouteTally total() {
    return pooled().getOrDefault(ALL_ROUTES, RouteTally.NONE);
  }

  private Map<String, RouteTally> pooled() {
    Map<String, RouteTally> sum = new HashMap<>(local);
    remoteByEntry
        .values()
        .forEach(tallies -> tallies.forEach((r, t) -> sum.merge(r, t, RouteTally::plus)));
    RouteTally all = sum.values().stream().reduce(RouteTally.NONE, RouteTally::plus);
    sum.put(ALL_ROUTES, all);
    return sum;
  }

  private boolean isNewVersionWorse(RouteTally t) {
    Tally newFailures = new Tally(t.newAnswers(), t.newFailed());
    Tally oldFailures = new Tally(t.oldAnswers(), t.oldFailed());
    Tally newSlow = new Tally(t.newTimed(), t.newSlow());
    Tally oldSlow = new Tally(t.oldTimed(), t.oldSlow());
    return isNewVersionWorse(newFailures, oldFailures, FAILURE_MARGIN)
        || isNewVersionWorse(newSlow, oldSlow, SLOW_MARGIN);
  }

  private boolean isNewVersionWorse(Tally newVersion, Tally oldVersion, double margin) {
    return newVersion.bad() >= MIN_BAD_ANSWERS
        && test.logEvidence(newVersion, oldVersion, margin) >= MIN_LOG_EVIDENCE;
  }
}
