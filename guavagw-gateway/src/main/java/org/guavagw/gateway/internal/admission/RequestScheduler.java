package org.guavagw.gateway.internal.admission;

/**
 * Decides for each new request whether it starts now, waits, or is refused.
 *
 * <p>Invariants: a request is started or refused at most once; a request that was refused or
 * cancelled is never started later. Traffic thread only.
 */
public interface RequestScheduler {
  /** Starts, queues or refuses a new request. */
  void submit(WaitingRequest request, long nowNanos);

  /** Records that the answer to a started request has begun. */
  void onAnswering(WaitingRequest request, long nowNanos);

  /**
   * Records the end of a request, whatever became of it: one that waits is removed, and one that
   * was started leaves room for another.
   */
  void onEnded(WaitingRequest request, long nowNanos);

  /** Decides again about the requests that wait, as the state of backend servers has changed. */
  void poll(long nowNanos);

  /** Returns how many requests wait. */
  int waiting();
}
