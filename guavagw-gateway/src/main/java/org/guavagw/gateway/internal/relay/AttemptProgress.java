package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.OptionalDouble;
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

  /** Events whose mean distance is the pace of an answer; few, so that it is known early. */
  private static final int PACE_EVENTS = 4;

  private final LoadTracker loads;
  private final BackendServer server;
  private final PrefillEstimate prefill;
  private final Duration estimate;
  private final boolean comparable;
  private final long sentNanos;
  private long lastReceivedNanos;
  private long firstEventNanos;
  private int events;
  private boolean answerStarted;
  private boolean timed;
  private boolean countedAsExecuted;
  private boolean prefillFinished;

  /**
   * Starts tracking an attempt that is sent now.
   *
   * @param estimatedMillis estimated time until its answer begins
   * @param comparable whether the backend server has so little to do that its time can be compared
   *     with those of other servers
   */
  AttemptProgress(
      LoadTracker loads,
      BackendServer server,
      PrefillEstimate prefill,
      double estimatedMillis,
      boolean comparable,
      long sentNanos) {
    this.estimate = Duration.ofMillis(Math.round(estimatedMillis));
    this.loads = loads;
    this.server = server;
    this.comparable = comparable;
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
    return events > 0;
  }

  /** Returns whether its time can be compared with those of attempts on other servers. */
  boolean isComparable() {
    return comparable;
  }

  /** Marks that its time is reported; returns whether it was not before. */
  boolean markTimed() {
    boolean isNew = !timed;
    timed = true;
    return isNew;
  }

  /** Records an event of the stream; the time to the first one updates the prefill estimate. */
  void onEvent(boolean isFirst) {
    events++;
    if (events == 1) {
      firstEventNanos = lastReceivedNanos;
    }
    if (isFirst && !prefillFinished) {
      loads.onFirstEvent(
          server, prefill, (lastReceivedNanos - sentNanos) / NANOS_PER_MILLI, sentNanos);
    }
  }

  /** Returns the mean time between the first events when the last of them has come. */
  OptionalDouble paceMillis() {
    return events == PACE_EVENTS
        ? OptionalDouble.of(
            (lastReceivedNanos - firstEventNanos) / NANOS_PER_MILLI / (PACE_EVENTS - 1))
        : OptionalDouble.empty();
  }

  /** Records that the prefill has ended or is no longer needed. */
  void onPrefillFinished() {
    if (!prefillFinished) {
      prefillFinished = true;
      loads.onPrefillFinished(server, prefill);
    }
  }

  /** Returns the time to the first event that was expected when the attempt was sent. */
  Duration estimate() {
    return estimate;
  }

  /** Records that the attempt has ended. */
  void onEnd(long nowNanos) {
    onPrefillFinished();
    loads.onEnded(server, prefill, (nowNanos - sentNanos) / NANOS_PER_MILLI);
  }

  /**
   * Returns what is observed now.
   *
   * @param readUntilNanos what came after this monotonic time may not have been read yet, so that
   *     it doesn't count as silence
   */
  StalledAttemptPolicy.Observation observe(long readUntilNanos, long nowNanos, long deadlineNanos) {
    return new StalledAttemptPolicy.Observation(
        answerStarted,
        Duration.ofNanos(readUntilNanos - lastReceivedNanos),
        loads.timeSinceLastReceived(server, readUntilNanos),
        loads.hasAnsweredLaterAttempt(server, sentNanos),
        estimate,
        Duration.ofNanos(nowNanos - sentNanos),
        Duration.ofNanos(deadlineNanos - nowNanos));
  }
}
