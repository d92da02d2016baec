package org.guavagw.gateway.internal.admission;

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

  private final WaitingRequest request;
  private final RequestTraits traits;
  private State state = State.WAITING;
  private long latestStartNanos;
  private int bypasses;
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

  int bypasses() {
    return bypasses;
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
