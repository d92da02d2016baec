package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import org.guavagw.gateway.model.Route;

/**
 * Decides what to do about an attempt that says nothing.
 *
 * <p>Answers links that are cut without a reset and backend servers that never answer some
 * requests. A pause alone proves nothing, as long prompts hold up everything beside them: a quiet
 * server is first asked for a connection, and only a request that others overtook counts as stuck.
 * Also answers prompts of other entries that hold up what is behind them: a request that waits for
 * longer than its own queue explains may go to a faster backend server. Stateless.
 */
final class SilencePolicy {
  /** How often attempts are looked at: a small part of the shortest limit below. */
  static final Duration CHECK_PERIOD = Duration.ofMillis(100);

  /** Leaves most of a tolerable pause of a second for the check and for another server to go on. */
  private static final Duration CHECK_PATH_AFTER = Duration.ofMillis(400);

  /** Shortest wait for an answer: well above the slowest work of plain services. */
  private static final Duration MIN_ANSWER_LIMIT = Duration.ofMillis(350);

  /** Share of the objective after which a request that others overtook counts as stuck. */
  private static final double OVERTAKEN_SHARE = 0.6;

  /** Share of the objective after which any request without an answer counts as stuck. */
  private static final double STUCK_SHARE = 1.5;

  /**
   * Share of the objective after which an answer that should have begun counts as late; leaves most
   * of the time to another backend server.
   */
  private static final double LATE_SHARE = 0.35;

  /** How much longer than expected a prompt may take: estimates of queues are rough. */
  private static final double EXPECTATION_FACTOR = 2.5;

  /** Prompt tokens that the slowest model reads in a millisecond, with room for others' prompts. */
  private static final int TOKENS_PER_MILLI = 10;

  private SilencePolicy() {}

  /** What to do about an attempt. */
  enum Verdict {
    /** Nothing speaks against it. */
    WAIT,
    /** Find out whether its backend server can still be reached. */
    CHECK_PATH,
    /** It takes longer than its queue explains, so that another backend server may be faster. */
    LATE,
    /** It is stuck. */
    STUCK
  }

  static Verdict judge(Route route, int promptTokens, Signs signs) {
    if (!route.safeToRetry()) {
      return Verdict.WAIT;
    }
    if (!signs.begun() && signs.quiet().compareTo(answerLimit(route, promptTokens, signs)) > 0) {
      return Verdict.STUCK;
    }
    if (!signs.begun() && signs.quiet().compareTo(lateLimit(route, signs)) > 0) {
      return Verdict.LATE;
    }
    Duration unheard =
        signs.quiet().compareTo(signs.serverQuiet()) < 0 ? signs.quiet() : signs.serverQuiet();
    return unheard.compareTo(CHECK_PATH_AFTER) > 0 ? Verdict.CHECK_PATH : Verdict.WAIT;
  }

  private static Duration answerLimit(Route route, int promptTokens, Signs signs) {
    double share = signs.overtaken() ? OVERTAKEN_SHARE : STUCK_SHARE;
    long millis = (long) (route.objective().toMillis() * share);
    return Duration.ofMillis(
        Math.max(MIN_ANSWER_LIMIT.toMillis(), millis) + promptTokens / TOKENS_PER_MILLI);
  }

  private static Duration lateLimit(Route route, Signs signs) {
    double objective = route.objective().toMillis() * LATE_SHARE;
    double explained = signs.expected().toMillis() * EXPECTATION_FACTOR;
    return Duration.ofMillis(Math.max(MIN_ANSWER_LIMIT.toMillis(), (long) (objective + explained)));
  }

  /**
   * What is known of an attempt. Immutable.
   *
   * @param begun whether an answer has begun
   * @param quiet time since the last sign of the attempt, its sending included
   * @param serverQuiet time since the backend server last sent this entry anything
   * @param overtaken whether the backend server began to answer requests that were sent later
   * @param expected time to the beginning of the answer that was expected when it was sent
   */
  record Signs(
      boolean begun, Duration quiet, Duration serverQuiet, boolean overtaken, Duration expected) {}
}
