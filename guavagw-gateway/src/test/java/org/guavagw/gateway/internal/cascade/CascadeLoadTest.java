package org.guavagw.gateway.internal.cascade;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.Repeatability;
import org.guavagw.gateway.model.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays prompts of very unlike length and hardness against engines that read one prompt after
 * another, at several loads, and checks what callers get from {@link ConfidenceCascade} and from
 * thresholds that do not look at the load.
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

  /** What an answer is worth that is good but late; callers of both deployments on average. */
  private static final double LATE_WORTH = 0.5;

  /** What an answer is worth that the small model gave to a request that was too hard for it. */
  private static final double POOR_WORTH = 0.05;

  /** Cost of an answer of the large model as a share of what a good answer is worth. */
  private static final double LARGE_COST = 0.12;

  /** Differences below this are not worth a decision. */
  private static final double NEGLIGIBLE = 0.005;

  /** At 1.6 times what they can do engines still give most callers what they get in calm. */
  private static final double KEPT_UNDER_OVERLOAD = 0.85;

  private final Route route = Samples.route(Repeatability.STREAM, List.of(SMALL, LARGE), 3);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldServeCallersAsWellAsAnyThresholdWhereThereIsRoom(long seed) {
    for (double load : new double[] {0.3, 0.6}) {
      for (int threshold = 40; threshold <= 70; threshold += 5) {
        assertThat(withCascade(seed, load))
            .isGreaterThan(withThreshold(seed, load, threshold) - NEGLIGIBLE);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldKeepAnswersInTimeWhereTheEnginesCannotDoAllTheWork(long seed) {
    for (double load : new double[] {0.9, 1.2, 1.6}) {
      double calm = withCascade(seed, 0.3);
      assertThat(withCascade(seed, load)).isGreaterThan(calm * KEPT_UNDER_OVERLOAD);
      for (int threshold = 40; threshold <= 70; threshold += 5) {
        assertThat(withCascade(seed, load)).isGreaterThan(withThreshold(seed, load, threshold));
      }
    }
  }

  private double withCascade(long seed, double load) {
    ConfidenceCascade cascade = new ConfidenceCascade(60);
    return play(
        seed,
        load,
        (confidence, expected) ->
            cascade
                .instead(route, SMALL, confidence, m -> new Outlook(expected, OBJECTIVE_MILLIS))
                .isEmpty());
  }

  private static double withThreshold(long seed, double load, int threshold) {
    return play(seed, load, (confidence, expected) -> confidence.orElse(0) >= threshold);
  }

  private static double play(long seed, double load, Acceptance acceptance) {
    Random random = new Random(seed);
    double meanTokens = 0;
    for (int i = 0; i < 1000; i++) {
      meanTokens += tokens(random) / 1000.0;
    }
    random = new Random(seed);
    double perRequest =
        meanTokens / SMALL_TOKENS_PER_MILLI + HARD_SHARE * meanTokens / LARGE_TOKENS_PER_MILLI;
    double gap = perRequest / ENGINES / load;
    double[] free = new double[ENGINES];
    double now = 0;
    double worth = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += -Math.log(1 - random.nextDouble()) * gap;
      int tokens = tokens(random);
      boolean hard = random.nextDouble() < HARD_SHARE;
      int engine = soonest(free);
      free[engine] = Math.max(now, free[engine]) + tokens / SMALL_TOKENS_PER_MILLI;
      double seen = free[engine];
      int confidence = confidence(random, hard);
      int next = soonest(free);
      double wait = Math.max(0, free[next] - now);
      double expected = wait + tokens / LARGE_TOKENS_PER_MILLI;
      if (acceptance.accepts(OptionalInt.of(confidence), expected)) {
        worth += hard ? POOR_WORTH : seen - now <= OBJECTIVE_MILLIS ? 1 : LATE_WORTH;
        continue;
      }
      free[next] = Math.max(seen, free[next]) + tokens / LARGE_TOKENS_PER_MILLI;
      worth += (free[next] - now <= OBJECTIVE_MILLIS ? 1 : LATE_WORTH) - LARGE_COST;
    }
    return worth / REQUESTS;
  }

  private static int soonest(double[] free) {
    int best = 0;
    for (int i = 1; i < free.length; i++) {
      best = free[i] < free[best] ? i : best;
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

  /** Whether a small model's answer is passed on. */
  private interface Acceptance {
    boolean accepts(OptionalInt confidence, double expectedMillis);
  }
}
