package org.guavagw.gateway.internal.control;

/** Is notified of each call to the store. Called on the control thread. */
@FunctionalInterface
public interface StoreCallListener {
  /** Takes note of a call whose result is known. */
  void onCall(String table, StoreCallCause cause, String result);
}
