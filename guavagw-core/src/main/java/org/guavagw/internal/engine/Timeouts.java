package org.guavagw.internal.engine;

import java.net.SocketTimeoutException;
import java.util.Locale;

/** Tells the timeouts of the HTTP library apart. Stateless. */
public final class Timeouts {
  private static final String CONNECT = "connect";

  private Timeouts() {}

  /** Whether the time ran out before a connection came about, so that nothing was sent. */
  public static boolean isBeforeConnection(SocketTimeoutException e) {
    return String.valueOf(e.getMessage()).toLowerCase(Locale.ROOT).contains(CONNECT);
  }
}
