package org.guavagw.standins.history.check;

import java.util.Optional;
import org.guavagw.standins.history.Event.CallerEvent;
import org.guavagw.standins.history.Event.CallerSent;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.TimedEvent;

/** Matches the events of an attempt of a caller. Stateless. */
final class CallerAttempts {
  private CallerAttempts() {}

  /** Returns the start of the attempt to which an event belongs. */
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
