package org.guavagw.standins.history.check;

import java.time.Duration;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.Timed;

/** When requests arrived at backend servers, which may be long before they start. Stateless. */
final class Arrivals {
  private Arrivals() {}

  static long nanos(Timed<ExecutionStarted> execution) {
    return execution.nanos() - execution.event().waited().toNanos();
  }

  static boolean laterThan(Timed<ExecutionStarted> execution, Timed<?> event, Duration window) {
    return nanos(execution) - event.nanos() > window.toNanos();
  }
}
