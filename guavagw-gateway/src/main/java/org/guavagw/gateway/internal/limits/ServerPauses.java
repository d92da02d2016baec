package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Keeps requests of this entry away from backend servers that asked for a pause.
 *
 * <p>Protects a backend server that turns requests away and says when it wants the next one. After
 * the pause one request at a time goes there until one is answered, and entries end their pauses at
 * slightly different times, so that what was kept away does not arrive at once. Not thread-safe.
 */
public final class ServerPauses {
  /** A longer pause is cut to this: by then the backend server has probably been replaced. */
  static final Duration MAX_PAUSE = Duration.ofSeconds(60);

  /** Part of a pause by which entries spread its end, up to {@link #MAX_SPREAD_NANOS}. */
  private static final double SPREAD_SHARE = 0.2;

  private static final long MAX_SPREAD_NANOS = Duration.ofMillis(500).toNanos();

  /** Time after which another request may test a backend server that did not answer the last. */
  private static final long TRIAL_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

  private final DoubleSupplier random;
  private final Map<String, Pause> pauses = new HashMap<>();

  /**
   * Creates a policy without pauses.
   *
   * @param random source of numbers from 0 to 1, different on each entry
   */
  public ServerPauses(DoubleSupplier random) {
    this.random = random;
  }

  /** Records that a backend server wants nothing for a while; a shorter pause changes nothing. */
  public void pause(String incarnation, Duration asked, long nowNanos) {
    long nanos = Math.min(asked.toNanos(), MAX_PAUSE.toNanos());
    long spread = Math.min((long) (nanos * SPREAD_SHARE), MAX_SPREAD_NANOS);
    long end = nowNanos + nanos + (long) (spread * random.getAsDouble());
    Pause pause = pauses.computeIfAbsent(incarnation, i -> new Pause(end));
    pause.endNanos = Math.max(pause.endNanos, end);
    pause.trialSent = false;
  }

  /** Returns whether a request may be sent now. */
  public boolean allows(String incarnation, long nowNanos) {
    Pause pause = pauses.get(incarnation);
    if (pause == null) {
      return true;
    }
    boolean testing = pause.trialSent && nowNanos - pause.trialSentNanos < TRIAL_TIMEOUT_NANOS;
    return !isPaused(incarnation, nowNanos) && !testing;
  }

  /** Returns whether a backend server wants nothing now. */
  public boolean isPaused(String incarnation, long nowNanos) {
    return !untilEnd(incarnation, nowNanos).isZero();
  }

  /** Returns the time until the pause ends; zero if there is none. */
  public Duration untilEnd(String incarnation, long nowNanos) {
    Pause pause = pauses.get(incarnation);
    return pause == null ? Duration.ZERO : Duration.ofNanos(Math.max(0, pause.endNanos - nowNanos));
  }

  /** Records that a request is sent now. */
  public void onSent(String incarnation, long nowNanos) {
    Pause pause = pauses.get(incarnation);
    if (pause != null) {
      pause.trialSent = true;
      pause.trialSentNanos = nowNanos;
    }
  }

  /** Records that a backend server executes requests, which ends the trial after its pause. */
  public void onExecuted(String incarnation, long nowNanos) {
    if (!isPaused(incarnation, nowNanos)) {
      pauses.remove(incarnation);
    }
  }

  /** Removes the pauses of backend servers that are gone. */
  public void retain(Set<String> incarnations) {
    pauses.keySet().retainAll(incarnations);
  }

  /** The pause of one backend server, and the request that tests it afterwards. */
  private static final class Pause {
    private long endNanos;
    private boolean trialSent;
    private long trialSentNanos;

    Pause(long endNanos) {
      this.endNanos = endNanos;
    }
  }
}
