package org.guavagw.internal.cascade;

import java.util.List;

/** Steps in the order in which they are tried, at least one. Immutable. */
public record CascadePlan(CascadeQuery query, List<PlannedStep> steps, PlanReason reason) {
  public CascadePlan {
    steps = List.copyOf(steps);
  }

  /** The step to start with. */
  public PlannedStep first() {
    return steps.get(0);
  }
}
