package org.guavagw.gateway.internal.control;

import java.util.Map;
import java.util.Set;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutStatus;

/**
 * The operators' orders and the reported states of rollouts. Immutable.
 *
 * @param rollouts rollout orders by service
 * @param statuses last reported rollout state by service
 * @param evacuated evacuated data centres, which get no requests
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
