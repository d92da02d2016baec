package org.guavagw.internal.rollout;

/**
 * How much evidence a rollout needs. Immutable.
 *
 * @param falseAlarmChance bound on the chance that a version that is no worse than the margins is
 *     ever held or withdrawn in one rollout
 * @param falseAdvanceChance bound on the chance that a version that does the harm which a stage
 *     excludes enters that stage
 * @param alarmInterval bound from below on the mean number of reports between false alarms of one
 *     stream of a version in service
 * @param ratingMargin fall of the mean rating that counts as none
 * @param rateMargin rise of the share of poor, failed or slow answers that counts as none
 * @param harmBudget fall of the mean rating over all traffic, new version or old, that a stage may
 *     risk; a stage with half the traffic may risk twice the fall on the new version
 */
public record MonitorSettings(
    double falseAlarmChance,
    double falseAdvanceChance,
    double alarmInterval,
    double ratingMargin,
    double rateMargin,
    double harmBudget) {
  private static final double MAX_HARM = 0.4;

  /** Settings for general use. */
  public static MonitorSettings standard() {
    return new MonitorSettings(0.005, 0.1, 1e8, 0.01, 0.01, 0.06);
  }

  /** Tolerance of a signal. */
  double margin(Signal signal) {
    return signal == Signal.RATING ? ratingMargin : rateMargin;
  }

  /** Harm that must be excluded before a stage with this share is entered. */
  double harmAt(int percent) {
    return Math.min(MAX_HARM, harmBudget * 100 / Math.max(1, percent));
  }
}
