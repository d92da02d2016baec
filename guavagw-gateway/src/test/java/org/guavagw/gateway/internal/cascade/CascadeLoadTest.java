package org.guavagw.gateway.internal.cascade;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates prompts of widely varying length and difficulty on engines that process one prompt at a
 * time, at several loads, and compares {@link ConfidenceCascade} with fixed confidence thresholds.
 */
class CascadeLoadTest {
  private static final String SMALL = "small";
  private static final String LARGE = "large";
  private static final int ENGINES = 4;
  private static final int REQUESTS = 6000;
  private static final double SMALL_TOKENS_PER_MILLI = 214;
  private static final double LARGE_TOKENS_PER_MILLI = 21;
  private static final double OBJECTIVE_MILLIS = 1500;
  private static final double HARD_SHARE = 0.44;

  /** Value of a good answer that is late: the average over the callers of both deployments. */
  private static final double LATE_VALUE = 0.5;

  /** Value of an answer of the small model to a request that is too hard for it. */
  private static final double POOR_VALUE = 0.05;

  /** Cost of an answer of the large model as a share of the value of a good answer. */
  private static final double LARGE_COST = 0.12;

  /** Differences in value below this are ignored. */
  private static final double NEGLIGIBLE = 0.005;

  /** Share of the value at low load that must remain at up to 1.6 times the engines' capacity. */
  private static final double MIN_SHARE_UNDER_OVERLOAD = 0.85;

  private final Route route = Samples.route(RouteKind.STREAM, List.of(SMALL, LARGE), 3);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldMatchEveryFixedThresholdBelowCapacity(long seed) {
    for (double load : new double[] {0.3, 0.6}) {
      for (int threshold = 40; threshold <= 70; threshold += 5) {
        assertThat(withCascade(seed, load))
            .isGreaterThan(withThreshold(seed, load, threshold) - NEGLIGIBLE);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldBeatEveryFixedThresholdUnderOverload(long seed) {
    for (double load : new double[] {0.9, 1.2, 1.6}) {
      double lowLoad = withCascade(seed, 0.3);
      assertThat(withCascade(seed, load)).isGreaterThan(lowLoad * MIN_SHARE_UNDER_OVERLOAD);
      for (int threshold = 40; threshold <= 70; threshold += 5) {
        assertThat(withCascade(seed, load)).isGreaterThan(withThreshold(seed, load, threshold));
      }
    }
  }

  private double withCascade(long seed, double load) {
    ConfidenceCascade cascade = new ConfidenceCascade(60);
    return simulate(
        seed,
        load,
        (confidence, expected) ->
            cascade
                .escalationModel(
                    route, SMALL, confidence, m -> new AttemptEstimate(expected, OBJECTIVE_MILLIS))
                .isEmpty());
  }

  private static double withThreshold(long seed, double load, int threshold) {
    return simulate(seed, load, (confidence, expected) -> confidence.orElse(0) >= threshold);
  }

  private static double simulate(long seed, double load, Acceptance acceptance) {
    Random random = new Random(seed);
    double meanTokens = 0;
    for (int i = 0; i < 1000; i++) {
      meanTokens += tokens(random) / 1000.0;
    }
    random = new Random(seed);
    double perRequest =
        meanTokens / SMALL_TOKENS_PER_MILLI + HARD_SHARE * meanTokens / LARGE_TOKENS_PER_MILLI;
    double gap = perRequest / ENGINES / load;
    double[] freeAt = new double[ENGINES];
    double now = 0;
    double value = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += -Math.log(1 - random.nextDouble()) * gap;
      int tokens = tokens(random);
      boolean hard = random.nextDouble() < HARD_SHARE;
      int engine = earliestFree(freeAt);
      freeAt[engine] = Math.max(now, freeAt[engine]) + tokens / SMALL_TOKENS_PER_MILLI;
      double smallFinished = freeAt[engine];
      int confidence = confidence(random, hard);
      int next = earliestFree(freeAt);
      double wait = Math.max(0, freeAt[next] - now);
      double expected = wait + tokens / LARGE_TOKENS_PER_MILLI;
      if (acceptance.accepts(OptionalInt.of(confidence), expected)) {
        value += hard ? POOR_VALUE : smallFinished - now <= OBJECTIVE_MILLIS ? 1 : LATE_VALUE;
        continue;
      }
      freeAt[next] = Math.max(smallFinished, freeAt[next]) + tokens / LARGE_TOKENS_PER_MILLI;
      value += (freeAt[next] - now <= OBJECTIVE_MILLIS ? 1 : LATE_VALUE) - LARGE_COST;
    }
    return value / REQUESTS;
  }

  private static int earliestFree(double[] freeAt) {
    int best = 0;
    for (int i = 1; i < freeAt.length; i++) {
      best = freeAt[i] < freeAt[best] ? i : best;
    }
    return best;
  }

  private static int tokens(Random random) {
    return (int) Math.min(20_000, 300 * Math.exp(1.2 * random.nextGaussian() + 1));
  }

  private static int confidence(Random random, boolean hard) {
    double value = (hard ? 21 : 79) + 20 * random.nextGaussian();
    return (int) Math.max(0, Math.min(100, value));
  }

  /** Decides whether an answer of the small model is accepted. */
  private interface Acceptance {
    boolean accepts(OptionalInt confidence, double expectedMillis);
  }
}
