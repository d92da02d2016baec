package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import org.guavagw.gateway.internal.placement.WorkReportSender;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;

/**
 * Decides what to do about an attempt from which nothing is received.
 *
 * <p>Handles links that are cut without a reset and backend servers that never answer some
 * requests. Silence alone proves nothing, because a long prompt delays all other requests on its
 * server: a silent server is first checked by opening a connection, and a request counts as stuck
 * sooner if later ones overtook it. Also handles long prompts of other entries that delay the
 * requests queued behind them: a request that waits for longer than its known queue explains may
 * move to a faster backend server. An answer that is buffered and goes on without end is given up
 * while another server has as much time as this one had. Stateless.
 */
final class StalledAttemptPolicy {
  /**
   * How often attempts are checked: a fraction of the shortest limit below, and with the task that
   * sends work reports.
   */
  static final Duration CHECK_PERIOD = WorkReportSender.PERIOD;

  /**
   * Leaves most of a tolerable pause of one second for the check and for another server to
   * continue.
   */
  private static final Duration REACHABILITY_CHECK_DELAY = Duration.ofMillis(400);

  /** Shortest time allowed for an answer: well above the slowest request of plain services. */
  private static final Duration MIN_ANSWER_LIMIT = Duration.ofMillis(350);

  /** Fraction of the objective after which a request that others overtook counts as stuck. */
  private static final double OVERTAKEN_FRACTION = 0.6;

  /** Fraction of the objective after which any request without an answer counts as stuck. */
  private static final double STUCK_FRACTION = 1.5;

  /**
   * Fraction of the objective by which an answer may exceed its estimate, multiplied by {@link
   * #ESTIMATE_TOLERANCE}, before it counts as late; leaves most of the time to another backend
   * server.
   */
  private static final double LATE_FRACTION = 0.35;

  /** Multiple of its estimate that a prompt may take, because queue estimates are rough. */
  private static final double ESTIMATE_TOLERANCE = 2.5;

  /**
   * Prompt tokens that the slowest model processes in a millisecond, with a margin for the prompts
   * of other requests.
   */
  private static final int PREFILL_TOKENS_PER_MILLI = 10;

  private StalledAttemptPolicy() {}

  /** What to do about an attempt. */
  enum Verdict {
    /** No sign of a problem. */
    WAIT,
    /** Check whether its backend server can still be reached. */
    CHECK_REACHABILITY,
    /** It takes longer than its queue explains; another backend server may be faster. */
    LATE,
    /** It is not expected to be answered any more. */
    STUCK
  }

  static Verdict evaluate(Route route, int promptTokens, Observation observation) {
    if (!route.safeToRetry()) {
      return Verdict.WAIT;
    }
    if (!observation.answerStarted()
        && observation.silence().compareTo(answerLimit(route, promptTokens, observation)) > 0) {
      return Verdict.STUCK;
    }
    if (!observation.answerStarted()
        && observation.silence().compareTo(lateLimit(route, observation)) > 0) {
      return Verdict.LATE;
    }
    if (route.kind() != RouteKind.STREAM
        && observation.answerStarted()
        && observation.sinceSent().compareTo(observation.remaining()) > 0) {
      return Verdict.STUCK;
    }
    return isServerSilent(observation) ? Verdict.CHECK_REACHABILITY : Verdict.WAIT;
  }

  /** Returns whether so little is received that the backend server may not be reachable. */
  static boolean isServerSilent(Observation observation) {
    return observation.silence().compareTo(REACHABILITY_CHECK_DELAY) > 0
        && observation.serverSilence().compareTo(REACHABILITY_CHECK_DELAY) > 0;
  }

  private static Duration answerLimit(Route route, int promptTokens, Observation observation) {
    double fraction = observation.overtaken() ? OVERTAKEN_FRACTION : STUCK_FRACTION;
    long millis = (long) (route.objective().toMillis() * fraction);
    return Duration.ofMillis(
        Math.max(MIN_ANSWER_LIMIT.toMillis(), millis) + promptTokens / PREFILL_TOKENS_PER_MILLI);
  }

  private static Duration lateLimit(Route route, Observation observation) {
    double margin = route.objective().toMillis() * LATE_FRACTION;
    double tolerated = observation.estimate().toMillis() * ESTIMATE_TOLERANCE;
    return Duration.ofMillis(Math.max(MIN_ANSWER_LIMIT.toMillis(), (long) (margin + tolerated)));
  }

  /**
   * What has been observed of an attempt. Immutable.
   *
   * @param answerStarted whether its answer has begun
   * @param silence time since the attempt was sent or last received data
   * @param serverSilence time since the backend server last sent this entry any data
   * @param overtaken whether the backend server has begun to answer requests that were sent later
   * @param estimate time until its answer begins, as estimated when it was sent
   * @param sinceSent time since the attempt was sent
   * @param remaining time until the caller's deadline
   */
  record Observation(
      boolean answerStarted,
      Duration silence,
      Duration serverSilence,
      boolean overtaken,
      Duration estimate,
      Duration sinceSent,
      Duration remaining) {}
}
