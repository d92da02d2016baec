package org.guavagw.gateway.internal.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the prefill rate of each model, in tokens per millisecond, from times to first event.
 *
 * <p>Rates differ by a factor of ten between models, so the token count alone does not predict the
 * prefill time. Not thread-safe.
 */
final class PrefillRateEstimator {
  /** Rate assumed for a model without samples. */
  private static final double DEFAULT_TOKENS_PER_MILLI = 20;

  /** The time of shorter prompts is dominated by the network and not by the model. */
  private static final int MIN_TOKENS = 200;

  /** Part of the time to the first event that does not depend on the prompt. */
  private static final double FIXED_MILLIS = 8;

  private static final double NEWEST_WEIGHT = 0.1;
  private static final double MIN_TOKENS_PER_MILLI = 1;
  private static final double MAX_TOKENS_PER_MILLI = 2000;

  private final Map<String, Double> rates = new HashMap<>();

  /** Records the first event of an attempt sent to a backend server with an empty prompt queue. */
  void onUnqueuedFirstEvent(String model, int tokens, double millis) {
    if (tokens < MIN_TOKENS) {
      return;
    }
    double rate = tokens / Math.max(1, millis - FIXED_MILLIS);
    double sample = Math.min(MAX_TOKENS_PER_MILLI, Math.max(MIN_TOKENS_PER_MILLI, rate));
    rates.merge(model, sample, (mean, next) -> mean + NEWEST_WEIGHT * (next - mean));
  }

  double millis(String model, double tokens) {
    return tokens / rates.getOrDefault(model, DEFAULT_TOKENS_PER_MILLI);
  }
}
