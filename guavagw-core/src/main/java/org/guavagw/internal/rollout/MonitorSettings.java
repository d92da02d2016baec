package org.guavagw.internal.rollout;

/**
 * How much evidence rollout decisions require. Immutable.
 *
 * @param falseAlarmChance upper bound on the probability that one rollout holds or withdraws a
 *     version that is no worse than the margins
 * @param falseAdvanceChance upper bound on the probability that a rollout enters a stage although
 *     the new version does more harm than the stage permits
 * @param alarmInterval lower bound on the mean number of reports between false alarms, for each
 *     signal of a serving version on a task class
 * @param ratingMargin decrease of the mean rating that is tolerated
 * @param rateMargin increase of the rate of poor, failed or slow answers that is tolerated
 * @param harmBudget decrease of the mean rating over all traffic, on both versions, that a stage
 *     may risk; a stage with half the traffic may risk twice that decrease on the new version
 */
public record MonitorSettings(
    double falseAlarmChance,
    double falseAdvanceChance,
    double alarmInterval,
    double ratingMargin,
    double rateMargin,
    double harmBudget) {
  private static final double MAX_HARM = 0.4;

  /** Returns the default settings. */
  public static MonitorSettings standard() {
    return new MonitorSettings(0.005, 0.1, 1e8, 0.01, 0.01, 0.06);
  }

  /** Returns the tolerated difference of a signal. */
  double margin(Signal signal) {
    return signal == Signal.RATING ? ratingMargin : rateMargin;
  }

  /** Returns the harm that the evidence must exclude before a stage with this share is entered. */
  double maxHarmAt(int percent) {
    return Math.min(MAX_HARM, harmBudget * 100 / Math.max(1, percent));
  }
}
