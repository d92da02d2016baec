package org.guavagw.gateway.model;

/**
 * The state of a rollout that the gateway reported to the operators. Immutable.
 *
 * @param startedMillis start of the rollout on the store's monotonic clock
 * @param revision version of the status row in the store, which the next write must expect
 */
public record RolloutStatus(
    String service, String toVersion, RolloutState state, long startedMillis, long revision) {

  /** Returns whether this is the status of an order and not of an earlier one for the service. */
  public boolean belongsTo(RolloutOrder order) {
    return revision > order.revision() && toVersion.equals(order.toVersion());
  }
}
