package org.guavagw.gateway.internal.relay;

/**
 * Where an exchange stands. Traffic thread only.
 *
 * <p>Invariant: an exchange leaves {@link State#ACTIVE} once, either because it has ended or
 * because another entry serves the request from then on; whoever comes second is told so.
 */
final class ExchangeLifecycle {
  private State state = State.ACTIVE;

  /** The states of an exchange. */
  enum State {
    /** The caller waits, and attempts may be sent. */
    ACTIVE,
    /** Another entry serves the request. */
    FORWARDED,
    /** The caller has its final answer, or has left. */
    ENDED
  }

  boolean isActive() {
    return state == State.ACTIVE;
  }

  /** Ends the exchange; returns false if it was not active any more. */
  boolean tryEnd() {
    return tryLeave(State.ENDED);
  }

  /** Leaves the request to another entry; returns false if it was not active any more. */
  boolean tryForward() {
    return tryLeave(State.FORWARDED);
  }

  private boolean tryLeave(State next) {
    if (state != State.ACTIVE) {
      return false;
    }
    state = next;
    return true;
  }
}
