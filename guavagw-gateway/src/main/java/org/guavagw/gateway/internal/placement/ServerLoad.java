package org.guavagw.gateway.internal.placement;

/**
 * This entry's in-flight requests at one backend server and the recent outcomes of its attempts.
 * Not thread-safe.
 */
final class ServerLoad {
  /** Half-life of recorded outcomes: spans a few recurrences of a fault, but not minutes. */
  private static final double HALF_LIFE_NANOS = 3e9;

  /** Successful attempts assumed for every backend server, so that one failure weighs little. */
  private static final double PRIOR_ATTEMPTS = 3;

  /** Attempts sent this much later are not in the same batch of the engine. */
  private static final long LATER_ATTEMPT_NANOS = 200_000_000;

  private final String incarnation;
  private final long idHash;
  private final PeerLoad peers = new PeerLoad();
  private final PrefixCacheEstimate cache = new PrefixCacheEstimate(0);
  private int slots;
  private long memoryTokens;
  private double speed = 1;
  private long promisedTokens;
  private int inFlight;
  private double pendingPrefillMillis;
  private double attempts;
  private double failures;
  private long decayedNanos;
  private long avoidedUntilNanos;
  private boolean avoided;
  private long receivedNanos;
  private boolean received;
  private long latestAnsweredNanos;
  private boolean answered;

  ServerLoad(String incarnation, String id) {
    this.incarnation = incarnation;
    this.idHash = Hash64.of(id);
  }

  String incarnation() {
    return incarnation;
  }

  /** Returns a hash of the server's id that is the same at all entries. */
  long idHash() {
    return idHash;
  }

  PeerLoad peers() {
    return peers;
  }

  PrefixCacheEstimate cache() {
    return cache;
  }

  /** Sets the capacity that is registered or configured; 0 if unknown. */
  void setCapacity(int newSlots, long newMemoryTokens) {
    slots = newSlots;
    memoryTokens = newMemoryTokens;
  }

  int slots() {
    return slots;
  }

  long memoryTokens() {
    return memoryTokens;
  }

  void setSpeed(double newSpeed) {
    speed = newSpeed;
  }

  double speed() {
    return speed;
  }

  /** Returns the prompts and expected answers of this entry's requests, in tokens. */
  long promisedTokens() {
    return promisedTokens;
  }

  void addPromisedTokens(long tokens) {
    promisedTokens += tokens;
  }

  /** Records that the answer to an attempt sent at this time has started. */
  void onAnswerStarted(long sentNanos) {
    if (!answered || sentNanos - latestAnsweredNanos > 0) {
      answered = true;
      latestAnsweredNanos = sentNanos;
    }
  }

  /** Returns whether the answer to an attempt sent well after this time has started. */
  boolean hasAnsweredLaterAttempt(long sentNanos) {
    return answered && latestAnsweredNanos - sentNanos > LATER_ATTEMPT_NANOS;
  }

  void onReceived(long nowNanos) {
    received = true;
    receivedNanos = nowNanos;
  }

  /** Returns the time since data last arrived; {@link Long#MAX_VALUE} if none ever did. */
  long nanosSinceLastReceived(long nowNanos) {
    return received ? nowNanos - receivedNanos : Long.MAX_VALUE;
  }

  void onSent(double prefillMillis) {
    inFlight++;
    pendingPrefillMillis += prefillMillis;
  }

  void onPrefillFinished(double prefillMillis) {
    pendingPrefillMillis = Math.max(0, pendingPrefillMillis - prefillMillis);
  }

  void onEnded() {
    inFlight--;
  }

  void onOutcome(boolean success, long nowNanos) {
    decay(nowNanos);
    attempts++;
    if (!success) {
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

  double failureRate(long nowNanos) {
    decay(nowNanos);
    return failures / (attempts + PRIOR_ATTEMPTS);
  }

  double failures(long nowNanos) {
    decay(nowNanos);
    return failures;
  }

  int inFlight() {
    return inFlight;
  }

  double pendingPrefillMillis() {
    return pendingPrefillMillis;
  }

  private void decay(long nowNanos) {
    if (attempts > 0) {
      double factor = Math.pow(0.5, (nowNanos - decayedNanos) / HALF_LIFE_NANOS);
      attempts *= factor;
      failures *= factor;
    }
    decayedNanos = nowNanos;
  }
}
