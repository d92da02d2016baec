package org.guavagw.gateway.internal.rollout;

import java.time.Duration;

/**
 * The share of sessions on the new version over the time that operators gave for a rollout.
 * Stateless.
 *
 * <p>The first half is for evidence at a small share; sessions begin to move only after it, step by
 * step, so that a fault that shows late meets few requests.
 */
final class RolloutSchedule {
  /** Share of new sessions in the first half; well under the bound on exposure. */
  static final double TRIAL_SHARE = 0.08;

  /** When sessions begin to move, as a share of the time given. */
  private static final double MOVE_BEGINS = 0.52;

  /** When all sessions have moved; leaves time for answers under way at the old version. */
  private static final double MOVE_ENDS = 0.72;

  /** When the old backend servers may stop. */
  private static final double COMPLETES = 0.92;

  private RolloutSchedule() {}

  static double share(Duration elapsed, Duration within) {
    double progress = progress(elapsed, within);
    if (progress < MOVE_BEGINS) {
      return TRIAL_SHARE;
    }
    double moved = Math.min(1, (progress - MOVE_BEGINS) / (MOVE_ENDS - MOVE_BEGINS));
    return TRIAL_SHARE + (1 - TRIAL_SHARE) * moved;
  }

  static boolean sessionsMayMove(Duration elapsed, Duration within) {
    return progress(elapsed, within) >= MOVE_BEGINS;
  }

  static boolean mayComplete(Duration elapsed, Duration within) {
    return progress(elapsed, within) >= COMPLETES;
  }

  private static double progress(Duration elapsed, Duration within) {
    return (double) elapsed.toMillis() / Math.max(1, within.toMillis());
  }
}
