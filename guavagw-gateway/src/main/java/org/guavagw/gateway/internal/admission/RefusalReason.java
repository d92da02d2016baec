package org.guavagw.gateway.internal.admission;

import java.util.Locale;

/** Why a request was refused instead of waiting for room. */
public enum RefusalReason {
  /** The queue is full, and nothing less entitled waits that could be displaced. */
  QUEUE_FULL("the queue of the service is full"),
  /** The request was removed from the full queue in favour of a more entitled one. */
  DISPLACED("a request with a stronger claim took the place in the queue"),
  /** The expected wait is longer than the request can wait. */
  WAIT_TOO_LONG("the service has too little room for the request to be served in time"),
  /** Too little time is left to run the request before its deadline. */
  TOO_LATE("too little time is left to run the request"),
  /** No room became free while the request could wait, and the drain rate is not known. */
  NO_ROOM("no backend server of the service had room");

  private final String message;

  RefusalReason(String message) {
    this.message = message;
  }

  /** Returns the reason that callers read. */
  String message() {
    return message;
  }

  /** Returns the name used in logs and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
