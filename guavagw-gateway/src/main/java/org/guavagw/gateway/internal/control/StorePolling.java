package org.guavagw.gateway.internal.control;

/** Starts and stops reading the store. Confined to the control thread. */
interface StorePolling {
  /** Starts reading the entries, which can't be learned elsewhere. */
  void startMembers();

  /** Starts reading all tables now; does nothing if that has started. */
  void start();

  /** Starts reading the orders now, and the other tables once the store has answered. */
  void startWithOrders();

  /**
   * Starts reading all tables rarely, as the entries that read the store for this one have lost it;
   * does nothing if reading has started.
   */
  void startSlowly();

  /** Stops reading. */
  void stop();
}
