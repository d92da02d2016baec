package org.guavagw.gateway.internal.relay;

import org.guavagw.gateway.internal.limits.RetryBudget;

/**
 * Counts the attempts of one request by what became of them and decides whether there may be
 * another. Traffic thread only.
 *
 * <p>Invariants: a request is proven not to have run only while no attempt may have been executed;
 * every attempt counts that was written to a connection and not provably turned away, as the end of
 * a connection does not tell whether the request ran, unless its backend server has ended; a
 * request that may run only once gets no other attempt after one that may have run, whatever became
 * of its backend server.
 */
final class AttemptCounts {
  /**
   * Attempts that may be turned away without being executed and still be retried; these do not
   * count towards the maximum attempts of the route.
   */
  private static final int MAX_TURNED_AWAY = 3;

  /** Backend servers that may end under a request before it is given up. */
  private static final int MAX_SERVERS_ENDED = 4;

  private final boolean safeToRetry;
  private final int maxAttempts;
  private final RetryBudget budget;
  private int executed;
  private int turnedAway;
  private int serversEnded;
  private int executedOnEnded;
  private boolean provenNotRun = true;

  /**
   * Creates counts of a request without attempts.
   *
   * @param safeToRetry whether the request may be executed more than once
   * @param maxAttempts attempts of the route that may be executed
   * @param attemptsElsewhere attempts of another entry that count, too
   */
  AttemptCounts(boolean safeToRetry, int maxAttempts, int attemptsElsewhere, RetryBudget budget) {
    this.safeToRetry = safeToRetry;
    this.maxAttempts = maxAttempts;
    this.budget = budget;
    this.executed = attemptsElsewhere;
  }

  /** Creates counts of a request that has not been sent from here. */
  static AttemptCounts of(AdmittedRequest request, RetryBudget budget) {
    return new AttemptCounts(
        request.route().safeToRetry(),
        request.route().maxAttempts(),
        request.attemptsElsewhere().orElse(0),
        budget);
  }

  /** Returns the attempts that count towards the limit of the route. */
  int counted() {
    return executed - executedOnEnded;
  }

  /** Returns the attempts that may have been executed. */
  int executed() {
    return executed;
  }

  /** Returns the attempts that were turned away without being executed. */
  int turnedAway() {
    return turnedAway;
  }

  /** Returns whether no attempt can have been executed. */
  boolean provenNotRun() {
    return provenNotRun;
  }

  /** Counts an attempt that may be executed, once. */
  void onMayHaveRun(AttemptProgress attempt) {
    provenNotRun = false;
    if (attempt.countAsExecuted()) {
      executed++;
    }
  }

  /** Counts an attempt whose outcome is not known yet and will not be awaited. */
  void onAbandoned() {
    provenNotRun = false;
  }

  /** Counts an attempt that failed. */
  void onFailed(AttemptProgress attempt, AttemptFailure failure) {
    if (failure.turnedAway()) {
      turnedAway++;
    }
    if (failure.mayHaveRun()) {
      onMayHaveRun(attempt);
    }
  }

  /** Counts an attempt whose backend server has ended; the route doesn't limit these. */
  void onServerEnded(AttemptProgress attempt) {
    serversEnded++;
    if (attempt.countedAsExecuted()) {
      executedOnEnded++;
    }
  }

  /** Returns whether the route allows another attempt beside those that were executed. */
  boolean allowsAnother() {
    return mayRunAgain() && counted() < maxAttempts;
  }

  /** Returns whether the route allows another attempt in place of an answer that could be used. */
  boolean allowsBetterAnswer() {
    return counted() < maxAttempts;
  }

  private boolean mayRunAgain() {
    return safeToRetry || provenNotRun;
  }

  /** Returns whether there could be another attempt if a pending one is given up. */
  boolean allowsReplacing(AttemptProgress pending, long now) {
    int counted = counted() + (pending.countedAsExecuted() ? 0 : 1);
    return counted < maxAttempts && budget.allowsRetry(now);
  }

  /** Reserves another attempt if one is allowed and returns whether it is. */
  boolean tryAnother(long now) {
    return allowsAnother() && budget.tryRetry(now);
  }

  /**
   * Reserves an attempt in place of an answer that could be used, if one is allowed, and returns
   * whether it is.
   */
  boolean tryBetterAnswer(long now) {
    return allowsBetterAnswer() && budget.tryImprovement(now);
  }

  /** Reserves another attempt after a failed one if one is allowed and returns whether it is. */
  boolean tryRetryAfter(AttemptFailure failure, long now) {
    if (!mayRunAgain()) {
      return false;
    }
    if (failure.unsent()) {
      return true;
    }
    if (failure == AttemptFailure.QUARANTINED
        || serversEnded >= MAX_SERVERS_ENDED
        || turnedAway > MAX_TURNED_AWAY) {
      return false;
    }
    return tryAnother(now);
  }
}
