package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.List;

/** Tells several listeners, in order. Immutable. */
public final class CombinedListener implements AdmissionListener {
  private final List<AdmissionListener> listeners;

  /** Creates a listener that passes on every call. */
  public CombinedListener(AdmissionListener... listeners) {
    this.listeners = List.of(listeners);
  }

  @Override
  public void onOffered(RequestTraits traits) {
    listeners.forEach(l -> l.onOffered(traits));
  }

  @Override
  public void onQueued(WaitingRequest request, QueueState state) {
    listeners.forEach(l -> l.onQueued(request, state));
  }

  @Override
  public void onStarted(RequestTraits traits, Duration wait) {
    listeners.forEach(l -> l.onStarted(traits, wait));
  }

  @Override
  public void onEnded(RequestTraits traits) {
    listeners.forEach(l -> l.onEnded(traits));
  }

  @Override
  public void onLeft(RequestTraits traits) {
    listeners.forEach(l -> l.onLeft(traits));
  }

  @Override
  public void onRefused(
      WaitingRequest request, RefusalReason reason, QueueState state, Duration retryAfter) {
    listeners.forEach(l -> l.onRefused(request, reason, state, retryAfter));
  }
}
