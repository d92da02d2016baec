package org.guavagw.gateway.model;

/**
 * The state of a rollout that the gateway reported to the operators. Immutable.
 *
 * @param startedMillis start of the rollout on the store's monotonic clock
 * @param revision version of the status row in the store, which the next write must expect
 * @param stored whether the store has this status; if not, it lost the row when it was restored
 */
public record RolloutStatus(
    String service,
    String toVersion,
    RolloutState state,
    long startedMillis,
    long revision,
    boolean stored) {

  /**
   * Returns whether this is the status of an order and not of an earlier one for the service. An
   * order that was written again after the store was restored may be newer than its status, so a
   * status also belongs to an order whose time is not over.
   */
  public boolean belongsTo(RolloutOrder order, long storeMillis) {
    boolean inTime = storeMillis - startedMillis <= order.within().toMillis();
    return toVersion.equals(order.toVersion()) && (revision > order.revision() || inTime);
  }

  /** Returns this status as the row that the store has now, or lacks, requires it to be written. */
  public RolloutStatus lost(long nextExpectedRevision) {
    return new RolloutStatus(service, toVersion, state, startedMillis, nextExpectedRevision, false);
  }

  /**
   * Returns whether this status is newer than another, which a restored store has instead: of a
   * later rollout, or of the same one and earlier begun or further on.
   */
  public boolean isAheadOf(RolloutStatus other) {
    if (!toVersion.equals(other.toVersion)) {
      return startedMillis > other.startedMillis;
    }
    boolean ended = state != RolloutState.RUNNING;
    boolean otherEnded = other.state != RolloutState.RUNNING;
    return ended == otherEnded ? startedMillis < other.startedMillis : ended;
  }
}
