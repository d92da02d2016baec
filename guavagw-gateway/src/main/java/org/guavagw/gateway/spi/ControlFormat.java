package org.guavagw.gateway.spi;

import org.guavagw.gateway.model.RolloutState;

/** Names the tables of the control state and decodes and encodes their rows. Stateless. */
public interface ControlFormat {
  /** Returns the name of the table with configuration and orders. */
  String ordersTable();

  /** Returns the name of the table with backend servers. */
  String backendsTable();

  /** Returns the name of the table with the rollout status that the gateway reports. */
  String statusTable();

  /** Returns the name of the table in which entries register. */
  String membersTable();

  /** Decodes a row. Never throws; returns {@code Unreadable} for an invalid row. */
  ControlRow decode(String table, StoredRow row, long nowNanos);

  /** Returns the key of the row with the order to roll out a version of a service. */
  String rolloutOrderKey(String service);

  /** Returns the key of the status row of a service's rollout. */
  String rolloutStatusKey(String service);

  /** Returns the value of the status row of a rollout. */
  byte[] rolloutStatus(String service, String toVersion, RolloutState state, long startedMillis);
}
