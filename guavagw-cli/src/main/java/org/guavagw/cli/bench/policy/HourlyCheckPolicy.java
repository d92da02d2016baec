package org.guavagw.cli.bench.policy;

import org.guavagw.config.VersionRef;
import org.guavagw.internal.rollout.Finding;
import org.guavagw.internal.rollout.RolloutAction;
import org.guavagw.internal.rollout.Signal;
import org.guavagw.internal.rollout.Tally;
import org.guavagw.internal.rollout.VersionOutcome;

/**
 * Compares the mean rating and the error rate of each hour with those of the previous hour. Not
 * thread-safe.
 */
final class HourlyCheckPolicy implements RolloutPolicy {
  private static final double CHECK_SECONDS = 3_600;
  private static final double WORSE_BY = 0.05;

  private final SimulatedControlPlane controlPlane;
  private final VersionRef watched;
  private final VersionRef successor;
  private Tally ratings = Tally.NONE;
  private Tally errors = Tally.NONE;
  private Tally lastRatings = Tally.NONE;
  private Tally lastErrors = Tally.NONE;
  private double nextCheck = CHECK_SECONDS;

  HourlyCheckPolicy(SimulatedControlPlane controlPlane, VersionRef watched, VersionRef successor) {
    this.controlPlane = controlPlane;
    this.watched = watched;
    this.successor = successor;
  }

  @Override
  public void observe(int entry, VersionOutcome outcome) {
    if (!outcome.version().equals(watched)) {
      return;
    }
    if (outcome.countsAnswer()) {
      errors = errors.plusTrial(outcome.failed() ? 1 : 0);
    }
    if (outcome.rating().isPresent()) {
      ratings = ratings.plusTrial(1 - outcome.rating().getAsDouble());
    }
  }

  @Override
  public void evaluate(double nowSeconds) {
    if (nowSeconds < nextCheck || !controlPlane.appliedActions().isEmpty()) {
      return;
    }
    if (isWorse(ratings, lastRatings) || isWorse(errors, lastErrors)) {
      Finding finding = new Finding(Signal.RATING, "", ratings, lastRatings, 0);
      controlPlane.apply(new RolloutAction.Withdraw(watched, successor, finding));
    }
    lastRatings = ratings;
    lastErrors = errors;
    ratings = Tally.NONE;
    errors = Tally.NONE;
    nextCheck += CHECK_SECONDS;
  }

  private static boolean isWorse(Tally now, Tally before) {
    return before.trials() > 0 && now.rate(0) > before.rate(0) + WORSE_BY;
  }
}
