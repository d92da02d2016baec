package org.guavagw.gateway.internal.rollout;

import com.codahale.metrics.SlidingWindowReservoir;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.DoubleStream;
import org.guavagw.gateway.internal.peers.RouteTally;
import org.guavagw.gateway.internal.peers.RouteTally.Answers;
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

  /** The same for slow answers, whose margins a sound version seldom reaches. */
  private static final double MIN_LOG_EVIDENCE_OF_SLOWNESS = Math.log(30);

  /** Difference in the failure rate that is tolerated. */
  private static final double FAILURE_MARGIN = 0.03;

  /**
   * Difference in the rate of slow answers that is tolerated where prompts are read, as a sound
   * version has to read those anew that the old ones have cached.
   */
  private static final double SLOW_PROMPT_MARGIN = 0.15;

  /** Difference in the rate of slow answers that is tolerated where no prompts are read. */
  private static final double SLOW_MARGIN = 0.05;

  /** Difference in the rate of answers whose events come slowly that is tolerated. */
  private static final double SLOW_PACE_MARGIN = 0.2;

  /** Difference in the rate of very slow answers that is tolerated. */
  private static final double VERY_SLOW_MARGIN = 0.03;

  /** An answer is slow if it takes more than this many times the usual time for its work kind. */
  private static final double SLOW_FACTOR = 3;

  /** An answer is very slow if it takes more than this many times the usual time. */
  private static final double VERY_SLOW_FACTOR = 10;

  /** Events come slowly if they take more than this many times the usual time. */
  private static final double SLOW_PACE_FACTOR = 2;

  /** Events that come faster than this are never slow. */
  private static final double MIN_SLOW_PACE_MILLIS = 20;

  /**
   * Answers to prompts that begin sooner than this are never slow; a sound version has to read
   * prompts anew that the old ones have cached.
   */
  private static final double MIN_SLOW_PROMPT_MILLIS = 150;

  /**
   * Other answers that begin sooner than this are never slow; their times reflect the network and
   * the load of this entry more than the version.
   */
  private static final double MIN_SLOW_MILLIS = 20;

  /** Times of the old versions whose median is the usual time. */
  private static final int USUAL_TIMES = 63;

  private static final int MIN_BAD_ANSWERS = 3;
  private static final String ALL_ROUTES = "*";

  private final SequentialTest test = new MixtureRatioTest();
  private final Map<String, RouteTally> local = new HashMap<>();
  private final Map<String, Map<String, RouteTally>> remoteByEntry = new HashMap<>();
  private final Map<WorkKind, UsualTime> usualTimes = new HashMap<>();
  private final Map<WorkKind, UsualTime> usualPaces = new HashMap<>();
  private boolean changed;
  private boolean badAnswerSeen;

  void onFailure(String route, boolean onNew) {
    addLocal(route, RouteTally.ofAnswer(onNew, true));
    badAnswerSeen |= onNew;
  }

  void onSuccess(String route, boolean onNew) {
    addLocal(route, RouteTally.ofAnswer(onNew, false));
  }

  /** Returns whether an answer that has not begun after this time counts as very slow. */
  boolean isVerySlow(WorkKind kind, double millis) {
    return exceeds(VERY_SLOW_FACTOR, kind, millis);
  }

  private boolean exceeds(double factor, WorkKind kind, double millis) {
    UsualTime usual = usualTimes.get(kind);
    double minSlowMillis = kind.readsPrompt() ? MIN_SLOW_PROMPT_MILLIS : MIN_SLOW_MILLIS;
    return usual != null && millis > minSlowMillis && millis > factor * usual.median;
  }

  /**
   * Records the time until an answer began, or until it was very slow. Answers that end are no
   * substitute: those of a slow version end late, or are given up before.
   */
  void onTiming(String route, WorkKind kind, double millis, boolean onNew) {
    if (usualTimes.containsKey(kind)) {
      boolean slow = exceeds(SLOW_FACTOR, kind, millis);
      addLocal(route, RouteTally.ofTiming(onNew, slow, isVerySlow(kind, millis)));
      badAnswerSeen |= onNew && slow;
    }
    if (!onNew) {
      usualTimes.computeIfAbsent(kind, k -> new UsualTime()).add(millis);
    }
  }

  /**
   * Records the mean time between the first events of an answer, which depends less on the load and
   * on what is cached than the time until it begins.
   */
  void onPace(String route, WorkKind kind, double millis, boolean onNew) {
    UsualTime usual = usualPaces.computeIfAbsent(kind, k -> new UsualTime());
    if (!usual.isEmpty()) {
      boolean slow = millis > MIN_SLOW_PACE_MILLIS && millis > SLOW_PACE_FACTOR * usual.median;
      addLocal(route, RouteTally.ofPace(onNew, slow));
      badAnswerSeen |= onNew && slow;
    }
    // Later sessions leave the old versions, which then have less to do than the new one.
    if (!onNew && !usual.isFull()) {
      usual.add(millis);
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

  private boolean isNewVersionWorse(RouteTally tally) {
    return evidence(tally, a -> new Tally(a.all(), a.failed()), FAILURE_MARGIN) >= MIN_LOG_EVIDENCE
        || evidenceOfSlowness(tally) >= MIN_LOG_EVIDENCE_OF_SLOWNESS;
  }

  private double evidenceOfSlowness(RouteTally tally) {
    return DoubleStream.of(
            evidence(tally, a -> new Tally(a.timed(), a.slow()), slowMargin()),
            evidence(tally, a -> new Tally(a.timed(), a.verySlow()), VERY_SLOW_MARGIN),
            evidence(tally, a -> new Tally(a.paced(), a.slowlyPaced()), SLOW_PACE_MARGIN))
        .max()
        .orElseThrow();
  }

  private double slowMargin() {
    boolean promptless =
        !usualTimes.isEmpty() && usualTimes.keySet().stream().noneMatch(WorkKind::readsPrompt);
    return promptless ? SLOW_MARGIN : SLOW_PROMPT_MARGIN;
  }

  private double evidence(RouteTally tally, Function<Answers, Tally> bad, double margin) {
    Tally newVersion = bad.apply(tally.newVersion());
    return newVersion.bad() < MIN_BAD_ANSWERS
        ? Double.NEGATIVE_INFINITY
        : test.logEvidence(newVersion, bad.apply(tally.oldVersions()), margin);
  }

  /** The median of the latest times; unlike their mean, load makes it no longer for long. */
  private static final class UsualTime {
    private final SlidingWindowReservoir latest = new SlidingWindowReservoir(USUAL_TIMES);
    private double median;
    private int added;

    boolean isEmpty() {
      return added == 0;
    }

    boolean isFull() {
      return added >= USUAL_TIMES;
    }

    void add(double millis) {
      added++;
      latest.update(Math.round(millis));
      median = latest.getSnapshot().getMedian();
    }
  }
}
