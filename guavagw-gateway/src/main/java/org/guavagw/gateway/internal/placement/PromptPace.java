package org.guavagw.gateway.internal.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * How many prompt tokens a model reads in a millisecond, learnt from the times to the first event.
 *
 * <p>Models differ by a factor of ten, so that tokens alone do not tell how long a prompt takes.
 * Not thread-safe.
 */
final class PromptPace {
  /** Pace of a model that was not seen yet. */
  private static final double DEFAULT_TOKENS_PER_MILLI = 20;

  /** Shorter prompts say more about the network than about the model. */
  private static final int MIN_TOKENS = 200;

  /** Time of a first event that does not depend on the prompt. */
  private static final double FIXED_MILLIS = 8;

  private static final double NEWEST_WEIGHT = 0.1;
  private static final double MIN_PACE = 1;
  private static final double MAX_PACE = 2000;

  private final Map<String, Double> paces = new HashMap<>();

  /** Takes a first event that came from a backend server on which no other prompt waited. */
  void onAloneFirstEvent(String model, int tokens, double millis) {
    if (tokens < MIN_TOKENS) {
      return;
    }
    double pace = tokens / Math.max(1, millis - FIXED_MILLIS);
    double sample = Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
    paces.merge(model, sample, (mean, next) -> mean + NEWEST_WEIGHT * (next - mean));
  }

  double millis(String model, double tokens) {
    return tokens / paces.getOrDefault(model, DEFAULT_TOKENS_PER_MILLI);
  }
}
