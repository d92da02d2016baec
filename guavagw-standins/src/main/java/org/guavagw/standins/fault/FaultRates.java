package org.guavagw.standins.fault;

/** Fractions of calls, from 0 to 1, with each outcome; the others are answered. Immutable. */
public record FaultRates(double refused, double requestLost, double answerLost) {
  /** No faults. */
  public static final FaultRates NONE = new FaultRates(0, 0, 0);

  CallOutcome outcomeFor(double draw) {
    if (draw < refused) {
      return CallOutcome.REFUSED;
    }
    if (draw < refused + requestLost) {
      return CallOutcome.REQUEST_LOST;
    }
    if (draw < refused + requestLost + answerLost) {
      return CallOutcome.ANSWER_LOST;
    }
    return CallOutcome.ANSWERED;
  }
}
