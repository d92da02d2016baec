package org.guavagw.gateway.internal.relay;

import java.util.Locale;

/** Why the connection of a caller is closed. */
enum CloseReason {
  /** The caller has closed it, or it has failed. */
  CALLER,
  /** The last answer has been written. */
  ANSWERED,
  /** Nothing was received for too long. */
  IDLE,
  /** Another connection needs its memory or its place. */
  EVICTED,
  /** An answer that has begun cannot be completed. */
  BROKEN_OFF,
  /** An unexpected error. */
  ERROR,
  /** This entry stops. */
  STOPPING;

  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the outcome of a request whose connection is closed for this reason. */
  String outcome() {
    return this == CALLER ? "caller_gone" : "connection closed: " + wireName();
  }
}
