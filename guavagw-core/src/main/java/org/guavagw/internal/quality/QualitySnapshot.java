package org.guavagw.internal.quality;

import java.util.HashMap;
import java.util.Map;

/** Ratings by key, in the form in which entries share them. Immutable. */
public record QualitySnapshot(Map<QualityKey, RatingSums> sums) {
  public QualitySnapshot {
    sums = Map.copyOf(sums);
  }

  /** Ratings of both. */
  public QualitySnapshot merge(QualitySnapshot other) {
    Map<QualityKey, RatingSums> merged = new HashMap<>(sums);
    other.sums.forEach((k, s) -> merged.merge(k, s, RatingSums::plus));
    return new QualitySnapshot(merged);
  }
}
