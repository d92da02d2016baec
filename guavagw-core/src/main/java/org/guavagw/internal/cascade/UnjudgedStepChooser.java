package org.guavagw.internal.cascade;

import org.apache.commons.statistics.distribution.BetaDistribution;

/**
 * Chooses a single step for requests whose answers cannot be judged.
 *
 * <p>Takes the cheapest step whose expected quality, as a lower confidence bound, meets the target,
 * or the cheapest random mix of such a step with a cheaper one, so that the mean of the lower
 * bounds meets the target. Stateless.
 */
final class UnjudgedStepChooser {
  private static final double TAIL = 0.1;
  private static final double PRIOR_RATINGS = 2;

  private UnjudgedStepChooser() {}

  static int chooseStep(CascadePolicy policy, CascadeQuery query, boolean[] usable) {
    double[] lower =
        policy.models().stream().mapToDouble(UnjudgedStepChooser::lowerBound).toArray();
    double target = query.cascade().qualityTarget();
    double bestCost = Double.POSITIVE_INFINITY;
    int best = strongestStep(lower, usable);
    for (int strong = 0; strong < lower.length; strong++) {
      if (!usable[strong] || lower[strong] < target) {
        continue;
      }
      for (int weak = 0; weak <= strong; weak++) {
        if (!usable[weak]) {
          continue;
        }
        double share = shareOfStrong(lower[weak], lower[strong], target);
        double cost = share * costOf(query, strong) + (1 - share) * costOf(query, weak);
        if (cost < bestCost) {
          bestCost = cost;
          best = Exploration.independentDraw(query.draw()) < share ? strong : weak;
        }
      }
    }
    return best;
  }

  private static double shareOfStrong(double weak, double strong, double target) {
    if (weak >= target) {
      return 0;
    }
    return (target - weak) / (strong - weak);
  }

  private static double costOf(CascadeQuery query, int step) {
    return query.steps().get(step).costMicros();
  }

  private static int strongestStep(double[] lower, boolean[] usable) {
    int best = CascadeTable.NONE;
    for (int i = 0; i < lower.length; i++) {
      if (usable[i] && (best == CascadeTable.NONE || lower[i] >= lower[best])) {
        best = i;
      }
    }
    return best;
  }

  private static double lowerBound(StepModel model) {
    double mean = model.means()[AnswerContext.FIRST.index()];
    double ratings = model.firstRatings() + PRIOR_RATINGS;
    return BetaDistribution.of(mean * ratings, (1 - mean) * ratings)
        .inverseCumulativeProbability(TAIL);
  }
}
