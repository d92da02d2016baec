package org.guavagw.internal.cascade;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.VersionRef;

/**
 * Estimates the cost and latency of a step from the output tokens and durations of earlier answers.
 * Thread-safe.
 */
public final class CostEstimator {
  private static final double CHARS_PER_TOKEN = 4;
  private static final double WEIGHT_OF_NEWEST = 0.05;
  private static final double UNKNOWN_SHARE_OF_MAX_TOKENS = 0.5;
  private static final double UNKNOWN_SECONDS = 1;

  private final Map<VersionRef, Averages> averages = new ConcurrentHashMap<>();

  /** Smoothed averages of one version. Immutable. */
  private record Averages(double outputShare, double seconds) {
    Averages updatedWith(Averages newest) {
      return new Averages(mix(outputShare, newest.outputShare), mix(seconds, newest.seconds));
    }

    private static double mix(double old, double newest) {
      return old + WEIGHT_OF_NEWEST * (newest - old);
    }
  }

  /** Updates the averages of a version with an answer. */
  public void observe(VersionRef version, int maxTokens, long outputTokens, Duration took) {
    double seconds = took.toNanos() / 1e9;
    Averages newest = new Averages((double) outputTokens / maxTokens, seconds);
    averages.merge(version, newest, Averages::updatedWith);
  }

  /** Returns the expected cost and latency of a step. */
  public CascadeStep estimate(
      VersionRef version, PriceConfig price, int promptChars, int maxTokens) {
    Averages current =
        averages.getOrDefault(version, new Averages(UNKNOWN_SHARE_OF_MAX_TOKENS, UNKNOWN_SECONDS));
    long input = Math.round(promptChars / CHARS_PER_TOKEN);
    long output = Math.round(current.outputShare() * maxTokens);
    Duration latency = Duration.ofNanos(Math.round(current.seconds() * 1e9));
    return new CascadeStep(version, price.costMicros(input, output), latency);
  }

  /** Returns the maximum cost of a request on a version. */
  public static long worstCostMicros(PriceConfig price, int promptChars, int maxTokens) {
    return price.costMicros(promptChars, maxTokens);
  }
}
