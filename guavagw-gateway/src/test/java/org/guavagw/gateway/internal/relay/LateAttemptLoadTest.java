package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.relay.StalledAttemptPolicy.Observation;
import org.guavagw.gateway.internal.relay.StalledAttemptPolicy.Verdict;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates short requests that queue behind long prompts of other entries, which their own entry
 * has no reports of, on engines that process one prompt at a time. Guards against answers that miss
 * the objective because a late attempt is not moved.
 */
class LateAttemptLoadTest {
  private static final int ENGINES = 6;
  private static final int REQUESTS = 4000;
  private static final double MEAN_GAP_MILLIS = 60;

  /** One in this many prompts is a long one of an entry whose reports do not arrive. */
  private static final int LONG_PROMPT_INTERVAL = 30;

  private static final double LONG_PROMPT_MILLIS = 2000;
  private static final double SHORT_PROMPT_MILLIS = 30;

  private final Route route = Samples.route(RouteKind.STREAM, List.of(), 3);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldMeetTheObjectiveMoreOftenIfLateAttemptsAreMoved(long seed) {
    double withoutMoving = simulate(seed, false);
    double withMoving = simulate(seed, true);

    // at least a third of the requests that missed the objective now meet it
    assertThat(1 - withMoving).isLessThan((1 - withoutMoving) * 2 / 3);
  }

  private double simulate(long seed, boolean moveLateAttempts) {
    Random random = new Random(seed);
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new Engine());
    }
    double now = 0;
    int shortRequests = 0;
    int inTime = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += -Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS;
      if (random.nextInt(LONG_PROMPT_INTERVAL) == 0) {
        engines.get(random.nextInt(ENGINES)).addUnreported(now, LONG_PROMPT_MILLIS);
        continue;
      }
      shortRequests++;
      double answerBegins = serve(engines, now, moveLateAttempts);
      inTime += answerBegins - now <= route.objective().toMillis() ? 1 : 0;
    }
    return inTime / (double) shortRequests;
  }

  /** Returns when the answer to a short request begins. */
  private double serve(List<Engine> engines, double now, boolean moveLateAttempts) {
    List<Engine> byKnownWork =
        engines.stream().sorted(Comparator.comparingDouble(e -> e.knownBusyUntilMillis)).toList();
    Engine first = byKnownWork.get(0);
    double estimate = Math.max(0, first.knownBusyUntilMillis - now) + SHORT_PROMPT_MILLIS;
    double answerBegins = Math.max(now, first.busyUntilMillis) + SHORT_PROMPT_MILLIS;
    double movesAt = moveLateAttempts ? lateAt(now, estimate) : Double.MAX_VALUE;
    if (answerBegins <= movesAt) {
      first.add(now);
      return answerBegins;
    }
    Engine second = byKnownWork.get(1);
    second.add(movesAt);
    return second.busyUntilMillis;
  }

  private double lateAt(double now, double estimate) {
    Duration waited = Duration.ZERO;
    Verdict verdict = Verdict.WAIT;
    while (verdict != Verdict.LATE) {
      waited = waited.plus(StalledAttemptPolicy.CHECK_PERIOD);
      Observation observation =
          new Observation(
              false,
              waited,
              Duration.ZERO,
              false,
              Duration.ofMillis(Math.round(estimate)),
              waited,
              route.timeout().minus(waited));
      verdict = StalledAttemptPolicy.evaluate(route, 0, observation);
    }
    return now + waited.toMillis();
  }

  /** An engine with the work of all entries and the part of it that this entry knows. */
  private static final class Engine {
    private double busyUntilMillis;
    private double knownBusyUntilMillis;

    void add(double now) {
      busyUntilMillis = Math.max(now, busyUntilMillis) + SHORT_PROMPT_MILLIS;
      knownBusyUntilMillis = Math.max(now, knownBusyUntilMillis) + SHORT_PROMPT_MILLIS;
    }

    void addUnreported(double now, double millis) {
      busyUntilMillis = Math.max(now, busyUntilMillis) + millis;
    }
  }
}
