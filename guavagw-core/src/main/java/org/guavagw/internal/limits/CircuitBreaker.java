package org.guavagw.internal.limits;

import java.time.Duration;

/**
 * Stops traffic to a backend server or along a path that keeps failing, and tries it again with
 * single requests after a pause that doubles with each failed trial. Thread-safe.
 */
public final class CircuitBreaker {
  private static final int FAILURES_TO_OPEN = 5;
  private static final long FIRST_PAUSE_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(30).toNanos();

  /** What the breaker lets through. */
  public enum State {
    /** Everything. */
    CLOSED,
    /** One trial request. */
    HALF_OPEN,
    /** Nothing. */
    OPEN
  }

  private int failures;
  private boolean open;
  private long openedNanos;
  private long pauseNanos = FIRST_PAUSE_NANOS;
  private boolean trialRunning;
  private long trialNanos;

  /** The state at a time. */
  public synchronized State state(long nowNanos) {
    if (!open) {
      return State.CLOSED;
    }
    if (trialRunning && nowNanos - trialNanos < MAX_PAUSE_NANOS) {
      return State.OPEN;
    }
    return nowNanos - openedNanos >= pauseNanos ? State.HALF_OPEN : State.OPEN;
  }

  /** Whether a request may go. */
  public boolean allows(long nowNanos) {
    return state(nowNanos) != State.OPEN;
  }

  /** Counts a dispatch; in the half-open state it is the trial. */
  public synchronized void onDispatched(long nowNanos) {
    if (state(nowNanos) == State.HALF_OPEN) {
      trialRunning = true;
      trialNanos = nowNanos;
    }
  }

  /** Learns from the end of a dispatch. */
  public synchronized void onFinished(Outcome.Kind kind, long nowNanos) {
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
