package org.guavagw.gateway.internal.memory;

import java.util.Locale;

/** What a connection of a caller waits for, in the order in which connections are given up. */
public enum Standing {
  /** No request, or the beginning of a head: nothing is known of its sender. */
  WAITING,

  /** A body that is incomplete. */
  RECEIVING,

  /** Nothing; its caller has not yet taken an answer. */
  ANSWERED,

  /** The rest of an answer that is being received for it, whole or as a stream. */
  ANSWERING,

  /** An answer that has not begun, to a request that is being served, which is never given up. */
  SERVING;

  /** Returns the name used in logs. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
