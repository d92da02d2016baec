package org.guavagw.gateway.internal.control;

import java.util.Map;
import java.util.Set;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutStatus;

/**
 * What operators have ordered and what was reported of it. Immutable.
 *
 * @param rollouts orders by service
 * @param statuses last reported state by service
 * @param evacuated data centres that get no requests
 */
public record Orders(
    Map<String, ObservedRollout> rollouts,
    Map<String, RolloutStatus> statuses,
    Set<String> evacuated) {
  /** No orders. */
  public static final Orders NONE = new Orders(Map.of(), Map.of(), Set.of());

  public Orders {
    rollouts = Map.copyOf(rollouts);
    statuses = Map.copyOf(statuses);
    evacuated = Set.copyOf(evacuated);
  }

  /**
   * A rollout order and when this process first saw it. Immutable.
   *
   * @param seenNanos monotonic time
   */
  public record ObservedRollout(RolloutOrder order, long seenNanos) {}
}
