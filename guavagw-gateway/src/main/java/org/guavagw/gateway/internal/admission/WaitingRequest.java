package org.guavagw.gateway.internal.admission;

import org.guavagw.Refusal;

/** A request that has not been sent to any backend server yet. Traffic thread only. */
public interface WaitingRequest {
  /** Returns the id that the caller gave it. */
  String id();

  /** Returns what decides the order of this request. */
  RequestTraits traits();

  /**
   * Starts the request if a backend server has room, or ends it if none is eligible; returns false
   * if it has to wait because all eligible servers are full.
   */
  boolean tryStart(long nowNanos);

  /** Answers the caller that the request was not run. */
  void refuse(Refusal refusal);
}
