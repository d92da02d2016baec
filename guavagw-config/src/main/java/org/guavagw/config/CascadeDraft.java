package org.guavagw.config;

import java.util.List;

/** Builder of a {@link CascadeConfig}. Immutable: each call returns a new draft. */
public record CascadeDraft(CascadeConfig build) {
  /** Sets the models, cheapest first. */
  public CascadeDraft through(String... models) {
    return of(List.of(models), build.qualityTarget(), build.latencyWeight());
  }

  /** Sets the mean rating that answers must reach, from 0 to 1. */
  public CascadeDraft toQuality(double target) {
    return of(build.steps(), target, build.latencyWeight());
  }

  /** Sets the weight of latency relative to cost, from 0 to 1. */
  public CascadeDraft weighingLatency(double weight) {
    return of(build.steps(), build.qualityTarget(), weight);
  }

  private CascadeDraft of(List<String> steps, double quality, double latency) {
    return new CascadeDraft(new CascadeConfig(build.taskClass(), steps, quality, latency));
  }
}
