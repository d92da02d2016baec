package org.guavagw.config;

import java.util.List;

/** A cascade as it is written. Immutable. */
public record CascadeDraft(CascadeConfig build) {
  /** Names the models, cheapest first. */
  public CascadeDraft through(String... models) {
    return of(List.of(models), build.qualityTarget(), build.latencyWeight());
  }

  /** Sets the mean rating to reach, from 0 to 1. */
  public CascadeDraft toQuality(double target) {
    return of(build.steps(), target, build.latencyWeight());
  }

  /** Sets how much waiting counts against cost, from 0 to 1. */
  public CascadeDraft weighingLatency(double weight) {
    return of(build.steps(), build.qualityTarget(), weight);
  }

  private CascadeDraft of(List<String> steps, double quality, double latency) {
    return new CascadeDraft(new CascadeConfig(build.taskClass(), steps, quality, latency));
  }
}
