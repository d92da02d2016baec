package org.guavagw.internal.limits;

import java.time.Duration;

/**
 * Circuit breaker for a backend server or data centre: stops traffic after repeated failures, then
 * lets single trial requests through after a pause that doubles with each failed trial.
 * Thread-safe.
 */
public final class CircuitBreaker {
  private static final int FAILURES_TO_OPEN = 5;
  private static final long FIRST_PAUSE_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(30).toNanos();

  /** Which requests the breaker lets through. */
  public enum State {
    /** All requests. */
    CLOSED,
    /** A single trial request. */
    HALF_OPEN,
    /** No requests. */
    OPEN
  }

  private int failures;
  private boolean open;
  private long openedNanos;
  private long pauseNanos = FIRST_PAUSE_NANOS;
  private boolean trialRunning;
  private long trialNanos;

  /** Returns the state at a time. */
  public synchronized State state(long nowNanos) {
    if (!open) {
      return State.CLOSED;
    }
    if (trialRunning && nowNanos - trialNanos < MAX_PAUSE_NANOS) {
      return State.OPEN;
    }
    return nowNanos - openedNanos >= pauseNanos ? State.HALF_OPEN : State.OPEN;
  }

  /** Returns whether a request may be sent. */
  public boolean allows(long nowNanos) {
    return state(nowNanos) != State.OPEN;
  }

  /** Records that a request is sent; in the half-open state it becomes the trial. */
  public synchronized void onDispatched(long nowNanos) {
    if (state(nowNanos) == State.HALF_OPEN) {
      trialRunning = true;
      trialNanos = nowNanos;
    }
  }

  /** Updates the state with the result of a request. */
  public synchronized void onFinished(AttemptOutcome.Kind kind, long nowNanos) {
    switch (kind) {
      case COMPLETED -> close();
      case FAILED, UNREACHABLE -> onFailure(nowNanos);
      default -> trialRunning = false;
    }
  }

  private void close() {
    failures = 0;
    open = false;
    trialRunning = false;
    pauseNanos = FIRST_PAUSE_NANOS;
  }

  private void onFailure(long nowNanos) {
    failures++;
    if (open && trialRunning) {
      trialRunning = false;
      openedNanos = nowNanos;
      pauseNanos = Math.min(MAX_PAUSE_NANOS, pauseNanos * 2);
      return;
    }
    if (!open && failures >= FAILURES_TO_OPEN) {
      open = true;
      openedNanos = nowNanos;
    }
  }
}
