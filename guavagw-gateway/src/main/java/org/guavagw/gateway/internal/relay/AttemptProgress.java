package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import org.guavagw.gateway.internal.placement.LoadTracker;
import org.guavagw.gateway.internal.placement.PrefillEstimate;
import org.guavagw.gateway.model.BackendServer;

/**
 * Tracks the progress of one attempt for its exchange and reports it to the {@link LoadTracker}.
 * Traffic thread only.
 *
 * <p>Invariant: the load that was added when the attempt was sent is removed exactly once.
 */
final class AttemptProgress {
  private static final double NANOS_PER_MILLI = 1_000_000;

  private final LoadTracker loads;
  private final BackendServer server;
  private final PrefillEstimate prefill;
  private final Duration estimate;
  private final long sentNanos;
  private long lastReceivedNanos;
  private boolean answerStarted;
  private boolean hasEvents;
  private boolean timed;
  private boolean countedAsExecuted;
  private boolean prefillFinished;

  /**
   * Starts tracking an attempt that is sent now.
   *
   * @param estimatedMillis estimated time until its answer begins
   */
  AttemptProgress(
      LoadTracker loads,
      BackendServer server,
      PrefillEstimate prefill,
      double estimatedMillis,
      long sentNanos) {
    this.estimate = Duration.ofMillis(Math.round(estimatedMillis));
    this.loads = loads;
    this.server = server;
    this.prefill = prefill;
    this.sentNanos = sentNanos;
    this.lastReceivedNanos = sentNanos;
  }

  BackendServer server() {
    return server;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Returns whether the attempt is counted as possibly executed. */
  boolean countedAsExecuted() {
    return countedAsExecuted;
  }

  /** Counts the attempt as possibly executed; returns whether it was not counted before. */
  boolean countAsExecuted() {
    boolean isNew = !countedAsExecuted;
    countedAsExecuted = true;
    return isNew;
  }

  /** Records that data arrived from the backend server. */
  void onReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
    loads.onReceived(server, nowNanos);
  }

  /** Records that the answer has begun. */
  void onAnswerStarted() {
    answerStarted = true;
    loads.onAnswerStarted(server, sentNanos);
  }

  /** Returns whether the backend server has sent a part of the answer itself. */
  boolean hasEvents() {
    return hasEvents;
  }

  /** Marks that its time is reported; returns whether it was not before. */
  boolean markTimed() {
    boolean isNew = !timed;
    timed = true;
    return isNew;
  }

  /** Records an event of the stream; the time to the first one updates the prefill estimate. */
  void onEvent(boolean isFirst) {
    hasEvents = true;
    if (isFirst && !prefillFinished) {
      loads.onFirstEvent(prefill, (lastReceivedNanos - sentNanos) / NANOS_PER_MILLI);
    }
  }

  /** Records that the prefill has ended or is no longer needed. */
  void onPrefillFinished() {
    if (!prefillFinished) {
      prefillFinished = true;
      loads.onPrefillFinished(server, prefill);
    }
  }

  /** Records that the attempt has ended. */
  void onEnd() {
    onPrefillFinished();
    loads.onEnded(server);
  }

  StalledAttemptPolicy.Observation observe(long nowNanos, long deadlineNanos) {
    return new StalledAttemptPolicy.Observation(
        answerStarted,
        Duration.ofNanos(nowNanos - lastReceivedNanos),
        loads.timeSinceLastReceived(server, nowNanos),
        loads.hasAnsweredLaterAttempt(server, sentNanos),
        estimate,
        Duration.ofNanos(nowNanos - sentNanos),
        Duration.ofNanos(deadlineNanos - nowNanos));
  }
}
