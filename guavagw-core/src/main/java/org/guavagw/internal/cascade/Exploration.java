package org.guavagw.internal.cascade;

import java.util.OptionalDouble;

/**
 * Sends a small share of requests to a random first step, so that every step keeps receiving
 * ratings. Stateless and thread-safe.
 */
final class Exploration {
  private static final double SHARE = 0.005;
  private static final double EARLY_SHARE = 0.05;
  private static final double EARLY_RATINGS = 60;
  private static final double MIX_DIGITS = 1e6;

  /**
   * Returns a uniform number that selects the first step, or empty if the request does not explore.
   */
  OptionalDouble choose(CascadePolicy policy, double draw) {
    double share = SHARE;
    for (StepModel model : policy.models()) {
      share = model.firstRatings() < EARLY_RATINGS ? EARLY_SHARE : share;
    }
    return draw < share ? OptionalDouble.of(draw / share) : OptionalDouble.empty();
  }

  /** Returns a uniform number that is independent of whether the request explores. */
  static double independentDraw(double draw) {
    double scaled = draw * MIX_DIGITS;
    return scaled - Math.floor(scaled);
  }
}
