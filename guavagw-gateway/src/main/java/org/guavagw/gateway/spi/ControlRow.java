package org.guavagw.gateway.spi;

import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutStatus;

/** What a row of the store means to the gateway. Immutable. */
public sealed interface ControlRow {
  /** The newest configuration. */
  record Configuration(GatewayConfig config) implements ControlRow {}

  /** An order to roll a version out. */
  record Rollout(RolloutOrder order) implements ControlRow {}

  /** An order to take a data centre out. */
  record Evacuation(String dataCentre) implements ControlRow {}

  /** A backend server. */
  record Backend(BackendServer server) implements ControlRow {}

  /** What was last reported of a rollout. */
  record Status(RolloutStatus status) implements ControlRow {}

  /** A row that says nothing usable. */
  record Unreadable(String reason) implements ControlRow {}
}
