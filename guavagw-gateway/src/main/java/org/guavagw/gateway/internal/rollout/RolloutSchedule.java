package org.guavagw.gateway.internal.rollout;

import java.time.Duration;

/**
 * The share of sessions on the new version over the time that the operators allow for a rollout.
 * Immutable.
 *
 * <p>The first half gathers evidence at a small share. Sessions move only after it, few at first,
 * so that a fault that shows late affects few requests.
 */
final class RolloutSchedule {
  /** Part of the limit on exposure that the first half uses; sessions differ in their requests. */
  private static final double TRIAL_PART = 0.8;

  /** Time in which entries learn which sessions others served on the old versions. */
  private static final Duration TRIAL_DELAY = Duration.ofMillis(500);

  /** When sessions start to move, as a fraction of the time allowed. */
  private static final double MOVE_START = 0.52;

  /** When all sessions have moved; leaves time for in-flight requests on the old version. */
  private static final double MOVE_END = 0.72;

  /** When the old backend servers may stop. */
  private static final double COMPLETION = 0.92;

  private final double trialShare;

  /**
   * Creates a schedule.
   *
   * @param exposureLimit share of the requests that a bad version may get
   */
  RolloutSchedule(double exposureLimit) {
    this.trialShare = TRIAL_PART * exposureLimit;
  }

  /** Returns whether a session at a position from 0 to 1 is on the new version from the start. */
  boolean isOnTrial(double position) {
    return position < trialShare;
  }

  double share(Duration elapsed, Duration within) {
    if (elapsed.compareTo(TRIAL_DELAY) < 0) {
      return 0;
    }
    double progress = progress(elapsed, within);
    if (progress < MOVE_START) {
      return trialShare;
    }
    double moved = Math.min(1, (progress - MOVE_START) / (MOVE_END - MOVE_START));
    return trialShare + (1 - trialShare) * moved * moved;
  }

  static boolean sessionsMayMove(Duration elapsed, Duration within) {
    return progress(elapsed, within) >= MOVE_START;
  }

  static boolean mayComplete(Duration elapsed, Duration within) {
    return progress(elapsed, within) >= COMPLETION;
  }

  private static double progress(Duration elapsed, Duration within) {
    return (double) elapsed.toMillis() / Math.max(1, within.toMillis());
  }
}
