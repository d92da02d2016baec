package org.guavagw.internal.quality;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.guavagw.config.VersionRef;
import org.junit.jupiter.api.Test;

class QualityModelTest {
  private static final VersionRef VERSION = new VersionRef("m", "v1");

  private final QualityModel model = new QualityModel();

  @Test
  void shouldDetectAVersionThatBecomesWorse() {
    rate("large", 2_000, 0.9);
    rate("large", 400, 0.2);
    assertThat(model.estimate(key("large")).mean()).isLessThan(0.5);
  }

  @Test
  void shouldUseTheRatingsOfAllTeamsForATeamWithFewRatings() {
    rate("large", 200, 0.9);
    rate("small", 1, 0.5);
    QualityEstimate small = model.estimate(key("small"));
    assertThat(small.mean()).isBetween(0.75, 0.9);
    assertThat(small.lower()).isLessThan(model.estimate(key("large")).lower());
  }

  @Test
  void shouldIgnoreInvalidRatings() {
    QualityEstimate before = model.estimate(key("t"));
    model.observe(key("t"), Double.NaN);
    model.observe(key("t"), 1.5);
    assertThat(model.estimate(key("t"))).isEqualTo(before);
  }

  @Test
  void shouldShareEachRatingOnce() {
    rate("t", 50, 0.9);
    QualityModel other = new QualityModel();
    other.add(model.takeUnshared());
    other.add(model.takeUnshared());
    assertThat(other.estimate(key("t")).samples())
        .isCloseTo(model.estimate(key("t")).samples(), within(1e-6));
    assertThat(other.takeUnshared().sums()).isEmpty();
  }

  private void rate(String team, int times, double rating) {
    for (int i = 0; i < times; i++) {
      model.observe(key(team), rating);
    }
  }

  private static QualityKey key(String team) {
    return new QualityKey(team, "lookup", VERSION);
  }
}
