package org.guavagw.internal.engine;

import java.net.SocketTimeoutException;
import java.util.Locale;

/** Distinguishes connect time-outs of the HTTP library from later ones. Stateless. */
public final class TimeoutClassifier {
  private static final String CONNECT = "connect";

  private TimeoutClassifier() {}

  /**
   * Returns whether the time-out occurred before a connection was established, so that nothing was
   * sent.
   */
  public static boolean isConnectTimeout(SocketTimeoutException e) {
    return String.valueOf(e.getMessage()).toLowerCase(Locale.ROOT).contains(CONNECT);
  }
}
