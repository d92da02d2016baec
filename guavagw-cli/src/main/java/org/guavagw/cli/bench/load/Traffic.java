package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.random.RandomGenerator;
import org.guavagw.internal.limits.RequestClass;

/**
 * Arrivals of one class from a group of teams as a Poisson process. Immutable.
 *
 * @param ratePerSecond arrivals a second at a time in seconds
 * @param maxRatePerSecond a bound on that rate
 */
record Traffic(
    RequestClass requestClass,
    List<String> teams,
    DoubleUnaryOperator ratePerSecond,
    double maxRatePerSecond,
    Duration patience) {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int PREFIXES = 200;
  private static final int INTERACTIVE_PROMPT_TOKENS = 400;
  private static final int INTERACTIVE_OUTPUT_TOKENS = 30;
  private static final int LONG_PROMPT_TOKENS = 3_000;
  private static final int LONG_OUTPUT_TOKENS = 600;

  Traffic {
    teams = List.copyOf(teams);
  }

  /** The same traffic from other teams. */
  Traffic withTeams(List<String> others) {
    return new Traffic(requestClass, others, ratePerSecond, maxRatePerSecond, patience);
  }

  /** Mean time of a request of the class in an engine that runs nothing else, in seconds. */
  static double aloneSeconds(RequestClass requestClass, EngineModel model) {
    boolean interactive = requestClass == RequestClass.INTERACTIVE;
    double prompt = interactive ? INTERACTIVE_PROMPT_TOKENS : LONG_PROMPT_TOKENS;
    double output = interactive ? INTERACTIVE_OUTPUT_TOKENS : LONG_OUTPUT_TOKENS;
    double nanos = prompt * model.prefillNanosPerToken() + output * model.decodeNanosPerToken();
    return nanos / NANOS_PER_SECOND;
  }

  /** Time to the next candidate arrival; candidates are thinned by {@link #accepts}. */
  long nextGapNanos(RandomGenerator random) {
    return Math.round(random.nextExponential() / maxRatePerSecond * NANOS_PER_SECOND);
  }

  boolean accepts(RandomGenerator random, long nowNanos) {
    double rate = ratePerSecond.applyAsDouble(nowNanos / NANOS_PER_SECOND);
    return random.nextDouble() * maxRatePerSecond < rate;
  }

  SimRequest request(RandomGenerator random, long id, String dataCentre, long nowNanos) {
    boolean interactive = requestClass == RequestClass.INTERACTIVE;
    return new SimRequest(
        id,
        teams.get(random.nextInt(teams.size())),
        requestClass,
        dataCentre,
        around(random, interactive ? INTERACTIVE_PROMPT_TOKENS : LONG_PROMPT_TOKENS),
        around(random, interactive ? INTERACTIVE_OUTPUT_TOKENS : LONG_OUTPUT_TOKENS),
        random.nextInt(PREFIXES),
        nowNanos,
        nowNanos + patience.toNanos());
  }

  /** Between half and one and a half of the mean. */
  private static int around(RandomGenerator random, int mean) {
    return mean / 2 + random.nextInt(mean);
  }
}
