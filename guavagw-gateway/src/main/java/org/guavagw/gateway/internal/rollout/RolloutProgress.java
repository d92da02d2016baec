package org.guavagw.gateway.internal.rollout;

import java.time.Duration;
import java.util.Optional;
import org.guavagw.gateway.internal.control.Orders.ObservedRollout;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutStatus;

/** How far a rollout is by the common clock, and whether this entry has found its version bad. */
public interface RolloutProgress {
  /** Time since the rollout began. */
  Duration elapsed(ObservedRollout rollout, Optional<RolloutStatus> status);

  /** Whether this entry has decided against the version before the others may know. */
  boolean isRejected(RolloutOrder order);
}
