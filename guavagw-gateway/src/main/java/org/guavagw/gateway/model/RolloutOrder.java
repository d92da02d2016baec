package org.guavagw.gateway.model;

import java.time.Duration;

/**
 * An operators' order to roll out another version of a service. Immutable.
 *
 * @param revision version of the order's row in the store; distinguishes repeated orders
 */
public record RolloutOrder(String service, String toVersion, Duration within, long revision) {
  /** Returns whether another order asks for the same, in a row of whatever version. */
  public boolean hasSameContent(RolloutOrder other) {
    return service.equals(other.service)
        && toVersion.equals(other.toVersion)
        && within.equals(other.within);
  }
}
