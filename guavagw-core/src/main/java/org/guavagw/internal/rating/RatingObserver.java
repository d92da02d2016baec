package org.guavagw.internal.rating;

import java.util.function.Consumer;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.quality.QualityKey;
import org.guavagw.internal.quality.QualityModel;
import org.guavagw.internal.rollout.VersionOutcome;

/** Passes ratings on to the quality model and the rollout evidence. Thread-safe. */
public final class RatingObserver {
  private final QualityModel quality;
  private final Consumer<VersionOutcome> outcomes;

  /** Creates an observer. */
  public RatingObserver(QualityModel quality, Consumer<VersionOutcome> outcomes) {
    this.quality = quality;
    this.outcomes = outcomes;
  }

  /** Called when an answer was rated. */
  public void onRated(String team, String taskClass, VersionRef version, double rating) {
    quality.observe(new QualityKey(team, taskClass, version), rating);
    outcomes.accept(VersionOutcome.rated(version, taskClass, rating));
  }
}
