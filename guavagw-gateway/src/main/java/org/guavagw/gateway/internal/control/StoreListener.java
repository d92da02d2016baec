package org.guavagw.gateway.internal.control;

/** Receives events of the replicated tables and the store. Called on the control thread. */
interface StoreListener {
  /** Called when a replica changed or was confirmed to be current. */
  void onReplicaChanged();

  /** Called when calls to the store start to fail. */
  void onStoreLost();

  /** Called when calls to the store that failed succeed again. */
  void onStoreRecovered();
}
