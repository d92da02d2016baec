package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import org.guavagw.gateway.internal.placement.LoadTracker;
import org.guavagw.gateway.internal.placement.PrefillEstimate;
import org.guavagw.gateway.model.BackendServer;

/**
 * How far one attempt is, as its exchange and the load book see it. Traffic thread only.
 *
 * <p>Invariant: what the load book was told of the attempt when it was sent is taken back once.
 */
final class AttemptProgress {
  private static final double NANOS_PER_MILLI = 1_000_000;

  private final LoadTracker loads;
  private final BackendServer server;
  private final PrefillEstimate work;
  private final Duration expected;
  private final long sentNanos;
  private long heardNanos;
  private boolean begun;
  private boolean counted;
  private boolean promptRead;

  /**
   * An attempt that is sent now.
   *
   * @param expectedMillis time to the beginning of its answer, as far as can be told
   */
  AttemptProgress(
      LoadTracker loads,
      BackendServer server,
      PrefillEstimate work,
      double expectedMillis,
      long sentNanos) {
    this.expected = Duration.ofMillis(Math.round(expectedMillis));
    this.loads = loads;
    this.server = server;
    this.work = work;
    this.sentNanos = sentNanos;
    this.heardNanos = sentNanos;
  }

  BackendServer server() {
    return server;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Whether it counts among the attempts that may have run. */
  boolean counted() {
    return counted;
  }

  /** Counts it among the attempts that may have run, and says whether that is new. */
  boolean count() {
    boolean isNew = !counted;
    counted = true;
    return isNew;
  }

  /** Notes that the backend server sent something. */
  void heard(long nowNanos) {
    heardNanos = nowNanos;
    loads.onReceived(server, nowNanos);
  }

  /** Notes that the answer has begun. */
  void begin() {
    begun = true;
    loads.onAnswerStarted(server, sentNanos);
  }

  /** Learns from the time to the first event of a stream. */
  void onEvent(boolean first) {
    if (first && !promptRead) {
      loads.onFirstEvent(work, (heardNanos - sentNanos) / NANOS_PER_MILLI);
    }
  }

  /** Notes that the prompt has been read, or need not be read any more. */
  void promptDone() {
    if (!promptRead) {
      promptRead = true;
      loads.onPrefillFinished(server, work);
    }
  }

  /** Notes that the attempt has ended. */
  void end() {
    promptDone();
    loads.onEnded(server);
  }

  SilencePolicy.Signs signs(long nowNanos) {
    return new SilencePolicy.Signs(
        begun,
        Duration.ofNanos(nowNanos - heardNanos),
        loads.timeSinceLastReceived(server, nowNanos),
        loads.hasAnsweredLaterAttempt(server, sentNanos),
        expected);
  }
}
