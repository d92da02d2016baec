package org.guavagw.internal.cascade;

import java.util.OptionalDouble;

/**
 * Sends a small share of requests to a random first step, so that no step goes unknown. Stateless
 * and thread-safe.
 */
final class Exploration {
  private static final double SHARE = 0.005;
  private static final double EARLY_SHARE = 0.05;
  private static final double EARLY_RATINGS = 60;
  private static final double MIX_DIGITS = 1e6;

  /** A uniform number for the choice of the first step, or empty for the planned one. */
  OptionalDouble choose(CascadePolicy policy, double draw) {
    double share = SHARE;
    for (StepModel model : policy.models()) {
      share = model.firstRatings() < EARLY_RATINGS ? EARLY_SHARE : share;
    }
    return draw < share ? OptionalDouble.of(draw / share) : OptionalDouble.empty();
  }

  /** A uniform number that does not depend on whether a request explores. */
  static double rest(double draw) {
    double scaled = draw * MIX_DIGITS;
    return scaled - Math.floor(scaled);
  }
}
