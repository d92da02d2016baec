package org.guavagw.internal.cascade;

import java.util.List;

/** Steps of a cascade in the order in which they are attempted, at least one. Immutable. */
public record CascadePlan(CascadeQuery query, List<PlannedStep> steps, PlanReason reason) {
  public CascadePlan {
    steps = List.copyOf(steps);
  }

  /** Returns the step to start with. */
  public PlannedStep first() {
    return steps.get(0);
  }
}
