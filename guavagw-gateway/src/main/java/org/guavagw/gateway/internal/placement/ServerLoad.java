package org.guavagw.gateway.internal.placement;

/**
 * What this entry has under way at one backend server and how its attempts there went lately. Not
 * thread-safe.
 */
final class ServerLoad {
  /** Failures count half after this time: a few repeats of a fault, not minutes of memory. */
  private static final double HALF_LIFE_NANOS = 3e9;

  /** Trials that an untested backend server is taken to have passed. */
  private static final double PRIOR_TRIALS = 3;

  /** Attempts that are sent this much later are not in the same batch. */
  private static final long OVERTAKING_NANOS = 200_000_000;

  private int running;
  private double waitingMillis;
  private double trials;
  private double failures;
  private long decayedNanos;
  private long avoidedUntilNanos;
  private boolean avoided;
  private long heardNanos;
  private boolean heard;
  private long latestBegunNanos;
  private boolean begun;

  /** Notes that the answer to an attempt that was sent at some time has begun. */
  void onBegun(long sentNanos) {
    if (!begun || sentNanos - latestBegunNanos > 0) {
      begun = true;
      latestBegunNanos = sentNanos;
    }
  }

  /** Whether answers to attempts that were sent well after this time have begun. */
  boolean overtook(long sentNanos) {
    return begun && latestBegunNanos - sentNanos > OVERTAKING_NANOS;
  }

  void onHeard(long nowNanos) {
    heard = true;
    heardNanos = nowNanos;
  }

  /** Time since the backend server last sent anything; very long if it never did. */
  long quietNanos(long nowNanos) {
    return heard ? nowNanos - heardNanos : Long.MAX_VALUE;
  }

  void onSent(double promptMillis) {
    running++;
    waitingMillis += promptMillis;
  }

  void onPromptRead(double promptMillis) {
    waitingMillis = Math.max(0, waitingMillis - promptMillis);
  }

  void onEnded() {
    running--;
  }

  void onOutcome(boolean good, long nowNanos) {
    decay(nowNanos);
    trials++;
    if (!good) {
      failures++;
    }
  }

  void avoidUntil(long nanos) {
    avoided = true;
    avoidedUntilNanos = nanos;
  }

  boolean avoidedAt(long nowNanos) {
    if (avoided && nowNanos - avoidedUntilNanos >= 0) {
      avoided = false;
    }
    return avoided;
  }

  double failureShare(long nowNanos) {
    decay(nowNanos);
    return failures / (trials + PRIOR_TRIALS);
  }

  double failures(long nowNanos) {
    decay(nowNanos);
    return failures;
  }

  int running() {
    return running;
  }

  double waitingMillis() {
    return waitingMillis;
  }

  private void decay(long nowNanos) {
    if (trials > 0) {
      double factor = Math.pow(0.5, (nowNanos - decayedNanos) / HALF_LIFE_NANOS);
      trials *= factor;
      failures *= factor;
    }
    decayedNanos = nowNanos;
  }
}
