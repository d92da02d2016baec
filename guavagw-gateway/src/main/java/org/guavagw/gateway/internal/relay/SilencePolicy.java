package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import org.guavagw.gateway.model.Route;

/**
 * Decides when an attempt that says nothing is given up for another backend server.
 *
 * <p>Answers links that are cut without a reset and backend servers that fall silent: the caller's
 * time for a pause is shorter than what a connection needs to notice. Slow work is not silence: as
 * long as a backend server answers anything else, it is left to finish. Stateless.
 */
final class SilencePolicy {
  /** How often attempts are looked at: a small part of the shortest limit below. */
  static final Duration CHECK_PERIOD = Duration.ofMillis(100);

  /** Leaves most of a tolerable pause of a second for another backend server to go on. */
  private static final Duration STREAM_LIMIT = Duration.ofMillis(500);

  /** Shortest wait for an answer: well above the slowest work of plain services. */
  private static final Duration MIN_ANSWER_LIMIT = Duration.ofMillis(250);

  /** Share of the objective that may pass without any sign. */
  private static final double OBJECTIVE_SHARE = 0.5;

  /** Prompt tokens that the slowest model reads in a millisecond, with room for others' prompts. */
  private static final int TOKENS_PER_MILLI = 10;

  private SilencePolicy() {}

  /**
   * Whether an attempt is taken as lost.
   *
   * @param begun whether events have come already
   * @param quiet time since the last sign of this attempt, its sending included
   * @param serverQuiet time since the backend server last sent this entry anything
   */
  static boolean lost(
      Route route, boolean begun, int promptTokens, Duration quiet, Duration serverQuiet) {
    if (!route.repeatable()) {
      return false;
    }
    Duration unheard = quiet.compareTo(serverQuiet) < 0 ? quiet : serverQuiet;
    return unheard.compareTo(begun ? STREAM_LIMIT : answerLimit(route, promptTokens)) > 0;
  }

  private static Duration answerLimit(Route route, int promptTokens) {
    long share = (long) (route.objective().toMillis() * OBJECTIVE_SHARE);
    long millis = Math.max(MIN_ANSWER_LIMIT.toMillis(), share) + promptTokens / TOKENS_PER_MILLI;
    return Duration.ofMillis(millis);
  }
}
