package org.guavagw.gateway.internal.rollout;

import java.time.Duration;
import java.util.Optional;
import org.guavagw.gateway.internal.control.Orders.ObservedRollout;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutStatus;

/**
 * Tells how far a rollout has progressed by the store's clock, and whether its version was
 * rejected.
 */
public interface RolloutProgress {
  /** Returns the time since the rollout started; zero if it has not started. */
  Duration elapsed(ObservedRollout rollout, Optional<RolloutStatus> status);

  /** Returns the status of an order if the given one belongs to it. */
  Optional<RolloutStatus> statusOf(RolloutOrder order, Optional<RolloutStatus> status);

  /**
   * Returns whether this entry rejected the version or learned that another entry did, possibly
   * before the rollout's status shows it.
   */
  boolean isRejected(RolloutOrder order);
}
