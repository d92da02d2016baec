package org.guavagw.gateway.internal.relay;

/** Why an attempt produced no usable answer. */
enum AttemptFailure {
  /** The connection could not be established; nothing was sent. */
  UNREACHABLE(false),
  /** The connection limit of the backend server is reached; nothing was sent. */
  NO_CONNECTION(false),
  /** The request was no longer to be sent once its connection was open; nothing was sent. */
  WITHDRAWN(false),
  /** The backend server reports that it did not execute the request. */
  NOT_EXECUTED(false),
  /**
   * A reused connection was closed shortly after the request was written. The backend server may
   * have dropped the connection before, or have ended while it executed the request.
   */
  STALE_CONNECTION(true),
  /** The connection ended before the answer was complete. */
  BROKEN(true),
  /** The answer is malformed, too large or not from the backend server. */
  UNUSABLE(true),
  /** This entry had no memory for the rest of the answer. */
  NO_MEMORY(true),
  /** The backend server answered with a server error. */
  SERVER_ERROR(true),
  /** Nothing was received for too long. */
  SILENT(true),
  /**
   * The answer takes longer than the queue explains, and another backend server is expected to be
   * faster.
   */
  LATE(true),
  /** A part of the prompt was found to end backend servers while the request waited. */
  QUARANTINED(true);

  private final boolean mayHaveRun;

  AttemptFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether nothing was sent to the backend server. */
  boolean unsent() {
    return this == UNREACHABLE || this == NO_CONNECTION || this == WITHDRAWN;
  }

  /** Returns whether the connection ended after the request was sent. */
  boolean connectionLost() {
    return this == BROKEN || this == STALE_CONNECTION;
  }

  /** Returns whether the attempt does not count towards the maximum attempts of the route. */
  boolean turnedAway() {
    return this == NOT_EXECUTED;
  }
}
