package org.guavagw.gateway.internal.admission;

import java.time.Duration;

/** Receives what a scheduler decides about requests. Traffic thread only. */
public interface AdmissionListener {
  /** Called for each new request. */
  void onOffered(RequestTraits traits);

  /** Called when a request begins to wait. */
  void onQueued(WaitingRequest request, QueueState state);

  /** Called when a request starts. */
  void onStarted(RequestTraits traits, Duration wait);

  /** Called when a started request has ended. */
  void onEnded(RequestTraits traits);

  /** Called when a waiting request has ended without being started or refused by the scheduler. */
  void onLeft(RequestTraits traits);

  /** Called when a request is refused. */
  void onRefused(
      WaitingRequest request, RefusalReason reason, QueueState state, Duration retryAfter);
}
