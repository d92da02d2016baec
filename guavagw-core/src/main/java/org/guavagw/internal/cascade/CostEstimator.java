package org.guavagw.internal.cascade;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.VersionRef;

/**
 * Learns how many tokens answers take and how long they last, to price steps before they run.
 * Thread-safe.
 */
public final class CostEstimator {
  private static final double CHARS_PER_TOKEN = 4;
  private static final double WEIGHT_OF_NEWEST = 0.05;
  private static final double UNKNOWN_SHARE_OF_MAX_TOKENS = 0.5;
  private static final double UNKNOWN_SECONDS = 1;

  private final Map<VersionRef, Learnt> learnt = new ConcurrentHashMap<>();

  /** Smoothed figures of one version; immutable. */
  private record Learnt(double outputShare, double seconds) {
    Learnt plus(Learnt newest) {
      return new Learnt(mix(outputShare, newest.outputShare), mix(seconds, newest.seconds));
    }

    private static double mix(double old, double newest) {
      return old + WEIGHT_OF_NEWEST * (newest - old);
    }
  }

  /** Learns from an answer. */
  public void observe(VersionRef version, int maxTokens, long outputTokens, Duration took) {
    double seconds = took.toNanos() / 1e9;
    Learnt newest = new Learnt((double) outputTokens / maxTokens, seconds);
    learnt.merge(version, newest, Learnt::plus);
  }

  /** What a step will probably cost and take. */
  public CascadeStep estimate(
      VersionRef version, PriceConfig price, int promptChars, int maxTokens) {
    Learnt known =
        learnt.getOrDefault(version, new Learnt(UNKNOWN_SHARE_OF_MAX_TOKENS, UNKNOWN_SECONDS));
    long input = Math.round(promptChars / CHARS_PER_TOKEN);
    long output = Math.round(known.outputShare() * maxTokens);
    Duration latency = Duration.ofNanos(Math.round(known.seconds() * 1e9));
    return new CascadeStep(version, price.costMicros(input, output), latency);
  }

  /** The most that a request can cost on a version. */
  public static long worstCostMicros(PriceConfig price, int promptChars, int maxTokens) {
    return price.costMicros(promptChars, maxTokens);
  }
}
