package org.guavagw.gateway.internal.control;

/** Hears what becomes of the tables that an entry follows. Called on the control thread. */
interface StoreListener {
  /** A replica took rows, or is known to be newer than before. */
  void onReplicaChanged();

  /** Calls to the store began to fail. */
  void onStoreLost();

  /** Calls that failed go well again. */
  void onStoreRegained();
}
