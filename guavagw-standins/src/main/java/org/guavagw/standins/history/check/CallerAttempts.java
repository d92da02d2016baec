package org.guavagw.standins.history.check;

import java.util.Optional;
import org.guavagw.standins.history.Event.CallerEvent;
import org.guavagw.standins.history.Event.CallerSent;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.TimedEvent;

/** Finds what belongs to a call. Stateless. */
final class CallerAttempts {
  private CallerAttempts() {}

  /** The start of the attempt that an event belongs to. */
  static Optional<CallerSent> sent(History history, CallerEvent event) {
    return history.stream(CallerSent.class)
        .map(TimedEvent::event)
        .filter(s -> sameAttempt(s, event))
        .findFirst();
  }

  static boolean sameAttempt(CallerEvent a, CallerEvent b) {
    return a.attempt() == b.attempt() && a.callId().equals(b.callId());
  }
}
