package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.Comparator;
import org.guavagw.internal.limits.FairShareItem;

/**
 * A request that a queue knows, from its arrival to its end. Traffic thread only.
 *
 * <p>Invariant: the state only advances, from waiting to running to ended, or from waiting to
 * ended.
 */
final class QueuedRequest implements FairShareItem {
  /** Sorts by the latest time of a start that is in time. */
  static final Comparator<QueuedRequest> BY_LATEST_START =
      Comparator.comparingLong(r -> r.latestStartNanos);

  /** Part of its latency objective for which a request may wait only to be refused. */
  private static final int HOLD_DIVISOR = 8;

  private static final long MAX_BLOCKING_NANOS = Duration.ofMillis(250).toNanos();

  private final WaitingRequest request;
  private final RequestTraits traits;
  private State state = State.WAITING;
  private long latestStartNanos;
  private int bypasses;
  private boolean blocking;
  private long blockingSinceNanos;
  private long startedNanos;
  private boolean answering;
  private boolean queued;
  private boolean provisional;

  QueuedRequest(WaitingRequest request) {
    this.request = request;
    this.traits = request.traits();
  }

  WaitingRequest request() {
    return request;
  }

  RequestTraits traits() {
    return traits;
  }

  @Override
  public String team() {
    return traits.team();
  }

  @Override
  public int weight() {
    return 1;
  }

  @Override
  public double cost() {
    return traits.cost();
  }

  State state() {
    return state;
  }

  void setState(State next) {
    state = next;
  }

  boolean isQueued() {
    return queued;
  }

  void setQueued(boolean nowQueued) {
    queued = nowQueued;
  }

  /**
   * Sets the key of the order: the latest start by which the objective can be met, or else the
   * deadline. Must not be called while the request is in a queue.
   */
  void setLatestStart(RunTimes runTimes, long nowNanos) {
    latestStartNanos = traits.objectiveNanos() - runTimes.firstAnswerNanos(traits.route());
    if (latestStartNanos - nowNanos < 0) {
      latestStartNanos = traits.deadlineNanos() - runTimes.runNanos(traits.route());
    }
  }

  /** Returns whether the request waits although nothing is known about its wait. */
  boolean isProvisional() {
    return provisional;
  }

  void setProvisional(boolean nowProvisional) {
    provisional = nowProvisional;
  }

  /** Returns the monotonic time after which the request is not refused any more if it can run. */
  long holdLimitNanos() {
    return traits.arrivedNanos() + (traits.objectiveNanos() - traits.arrivedNanos()) / HOLD_DIVISOR;
  }

  /** Counts that a request behind this one was started before it. */
  void onBypassed() {
    bypasses++;
  }

  /**
   * Returns whether others have started before this request so often that none may for a while.
   * Ends after some time, as it may be the only one for which there is no room.
   */
  boolean blocksOthers(int maxBypasses, long nowNanos) {
    if (bypasses < maxBypasses) {
      return false;
    }
    if (!blocking) {
      blocking = true;
      blockingSinceNanos = nowNanos;
    }
    if (nowNanos - blockingSinceNanos > MAX_BLOCKING_NANOS) {
      blocking = false;
      bypasses = 0;
    }
    return blocking;
  }

  long startedNanos() {
    return startedNanos;
  }

  void setStartedNanos(long nowNanos) {
    startedNanos = nowNanos;
  }

  /** Records the begin of the answer; returns whether it is the first one. */
  boolean tryBeginAnswer() {
    boolean first = !answering;
    answering = true;
    return first;
  }

  boolean isAnswering() {
    return answering;
  }

  /** The progress of a request. */
  enum State {
    /** Not sent to a backend server yet. */
    WAITING,
    /** Started and not ended yet. */
    RUNNING,
    /** Ended or refused. */
    ENDED
  }
}
