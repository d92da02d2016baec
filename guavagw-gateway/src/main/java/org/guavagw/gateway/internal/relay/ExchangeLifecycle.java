package org.guavagw.gateway.internal.relay;

/**
 * Where an exchange stands. Traffic thread only.
 *
 * <p>Invariant: an exchange that has ended stays so; one that another entry serves gets active
 * again only by being taken back; whoever comes second gets {@code false}.
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

  /** Takes the request back from other entries; returns false if none serves it. */
  boolean tryTakeBack() {
    return tryChange(State.FORWARDED, State.ACTIVE);
  }

  private boolean tryLeave(State next) {
    return tryChange(State.ACTIVE, next);
  }

  private boolean tryChange(State expected, State next) {
    if (state != expected) {
      return false;
    }
    state = next;
    return true;
  }
}
