package org.guavagw.internal.quality;

import java.util.HashMap;
import java.util.Map;

/** Rating sums by key, as shared between entries. Immutable. */
public record QualitySnapshot(Map<QualityKey, RatingSums> sums) {
  public QualitySnapshot {
    sums = Map.copyOf(sums);
  }

  /** Returns the sum of both snapshots. */
  public QualitySnapshot merge(QualitySnapshot other) {
    Map<QualityKey, RatingSums> merged = new HashMap<>(sums);
    other.sums.forEach((k, s) -> merged.merge(k, s, RatingSums::plus));
    return new QualitySnapshot(merged);
  }
}
