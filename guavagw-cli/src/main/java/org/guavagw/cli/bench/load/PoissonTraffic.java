package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.random.RandomGenerator;
import org.guavagw.internal.limits.RequestClass;

/**
 * Poisson arrivals of one request class from a group of teams. Immutable.
 *
 * @param ratePerSecond arrival rate per second as a function of the time in seconds
 * @param maxRatePerSecond upper bound of the rate
 */
record PoissonTraffic(
    RequestClass requestClass,
    List<String> teams,
    DoubleUnaryOperator ratePerSecond,
    double maxRatePerSecond,
    Duration callerTimeout) {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int PREFIXES = 200;
  private static final int INTERACTIVE_PROMPT_TOKENS = 400;
  private static final int INTERACTIVE_OUTPUT_TOKENS = 30;
  private static final int LONG_PROMPT_TOKENS = 3_000;
  private static final int LONG_OUTPUT_TOKENS = 600;

  PoissonTraffic {
    teams = List.copyOf(teams);
  }

  /** Returns the same traffic from other teams. */
  PoissonTraffic withTeams(List<String> others) {
    return new PoissonTraffic(requestClass, others, ratePerSecond, maxRatePerSecond, callerTimeout);
  }

  /** Returns the mean service time of the class in an unloaded engine, in seconds. */
  static double unloadedSeconds(RequestClass requestClass, EngineModel model) {
    boolean interactive = requestClass == RequestClass.INTERACTIVE;
    double prompt = interactive ? INTERACTIVE_PROMPT_TOKENS : LONG_PROMPT_TOKENS;
    double output = interactive ? INTERACTIVE_OUTPUT_TOKENS : LONG_OUTPUT_TOKENS;
    double nanos = prompt * model.prefillNanosPerToken() + output * model.decodeNanosPerToken();
    return nanos / NANOS_PER_SECOND;
  }

  /** Returns the time to the next candidate arrival; {@link #accepts} thins the candidates. */
  long nextGapNanos(RandomGenerator random) {
    return Math.round(random.nextExponential() / maxRatePerSecond * NANOS_PER_SECOND);
  }

  boolean accepts(RandomGenerator random, long nowNanos) {
    double rate = ratePerSecond.applyAsDouble(nowNanos / NANOS_PER_SECOND);
    return random.nextDouble() * maxRatePerSecond < rate;
  }

  SimulatedRequest request(RandomGenerator random, long id, String dataCentre, long nowNanos) {
    boolean interactive = requestClass == RequestClass.INTERACTIVE;
    return new SimulatedRequest(
        id,
        teams.get(random.nextInt(teams.size())),
        requestClass,
        dataCentre,
        randomAround(random, interactive ? INTERACTIVE_PROMPT_TOKENS : LONG_PROMPT_TOKENS),
        randomAround(random, interactive ? INTERACTIVE_OUTPUT_TOKENS : LONG_OUTPUT_TOKENS),
        random.nextInt(PREFIXES),
        nowNanos,
        nowNanos + callerTimeout.toNanos());
  }

  /** Returns a uniform random number between 0.5 and 1.5 times the mean. */
  private static int randomAround(RandomGenerator random, int mean) {
    return mean / 2 + random.nextInt(mean);
  }
}
