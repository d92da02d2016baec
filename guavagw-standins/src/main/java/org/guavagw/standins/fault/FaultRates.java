package org.guavagw.standins.fault;

/** Shares of calls, from 0 to 1, that meet each fate. Immutable. */
public record FaultRates(double refused, double requestLost, double answerLost) {
  /** No faults. */
  public static final FaultRates NONE = new FaultRates(0, 0, 0);

  CallOutcome pick(double draw) {
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
