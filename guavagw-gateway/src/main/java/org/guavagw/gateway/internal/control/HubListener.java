package org.guavagw.gateway.internal.control;

import org.guavagw.gateway.spi.StoredRow;

/** Receives what a hub says beside the changes of the tables. Called on the control thread. */
interface HubListener {
  /**
   * Called for each answer of a hub.
   *
   * @param expected whether the hub expects that registrations lapsed because of a store outage
   * @param afterGap whether the orders of this entry had not been confirmed for longer than a hub's
   *     may be before, so that the store may have been away rather than the hub cut off from it
   */
  void onLapsesExpected(boolean expected, boolean afterGap);

  /** Called with the row of a configuration that the restored store lacks. */
  void onNewerConfig(StoredRow row);

  /** Called when the replicas of this entry have the hub's changes. */
  void onReplicated();
}
