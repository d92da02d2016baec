package org.guavagw.gateway.spi;

import org.guavagw.gateway.model.RolloutState;

/** Names of the tables that hold control state, and the meaning of their rows. Stateless. */
public interface ControlFormat {
  /** Table with configuration and orders. */
  String ordersTable();

  /** Table with backend servers. */
  String backendsTable();

  /** Table with what the gateway reports. */
  String statusTable();

  /** Table in which entries register. */
  String membersTable();

  /** What a row means. Never throws: a row that cannot be read is {@code Unreadable}. */
  ControlRow decode(String table, StoredRow row, long nowNanos);

  /** Key of the status row of a service's rollout. */
  String rolloutStatusKey(String service);

  /** Value of the status row of a rollout. */
  byte[] rolloutStatus(String service, String toVersion, RolloutState state, long startedMillis);
}
