package org.guavagw.gateway.internal.relay;

import org.guavagw.gateway.internal.placement.Placement;

/**
 * Decides whether a request for which no server has room waits at this entry or in the queue of the
 * server.
 *
 * <p>Handles short requests at servers that many entries fill: a slot is free again before a report
 * of it arrives here, so that waiting here would leave it unused. Stateless.
 */
final class WaitPolicy {
  /** Expected wait at the server up to which a request is sent to it; reports take as long. */
  static final double MAX_SERVER_WAIT_MILLIS = 100;

  private WaitPolicy() {}

  /** Returns whether the request waits at this entry. */
  static boolean waitsHere(Placement placement) {
    return placement instanceof Placement.Placed placed
        && !placed.hasRoom()
        && placed.waitMillis() > MAX_SERVER_WAIT_MILLIS;
  }
}
