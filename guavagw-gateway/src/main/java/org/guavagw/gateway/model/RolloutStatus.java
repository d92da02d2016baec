package org.guavagw.gateway.model;

/**
 * What the gateway has told the operators about a rollout. Immutable.
 *
 * @param startedMillis the store's steady clock when the rollout began
 * @param revision version of the row in the store, which the next change must name
 */
public record RolloutStatus(
    String service, String toVersion, RolloutState state, long startedMillis, long revision) {

  /** Whether this tells about an order rather than about an earlier one for the same service. */
  public boolean answers(RolloutOrder order) {
    return revision > order.revision() && toVersion.equals(order.toVersion());
  }
}
