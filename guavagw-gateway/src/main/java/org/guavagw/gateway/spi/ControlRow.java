package org.guavagw.gateway.spi;

import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutStatus;

/** A decoded row of the store. Immutable. */
public sealed interface ControlRow {
  /** The newest configuration. */
  record Configuration(GatewayConfig config) implements ControlRow {}

  /** An order to roll out a version. */
  record Rollout(RolloutOrder order) implements ControlRow {}

  /** An order to evacuate a data centre. */
  record Evacuation(String dataCentre) implements ControlRow {}

  /** A backend server. */
  record Backend(BackendServer server) implements ControlRow {}

  /** The last reported status of a rollout. */
  record Status(RolloutStatus status) implements ControlRow {}

  /** A row that could not be decoded. */
  record Unreadable(String reason) implements ControlRow {}
}
