package org.guavagw.internal.quality;

/** Weighted count, sum and sum of squares of ratings. Immutable. */
public record RatingSums(double count, double sum, double sumOfSquares) {
  /** No ratings. */
  public static final RatingSums NONE = new RatingSums(0, 0, 0);

  /** One rating. */
  public static RatingSums of(double rating) {
    return new RatingSums(1, rating, rating * rating);
  }

  /** Ratings of both. */
  public RatingSums plus(RatingSums other) {
    return new RatingSums(count + other.count, sum + other.sum, sumOfSquares + other.sumOfSquares);
  }

  /** The same ratings at another weight. */
  public RatingSums scaled(double factor) {
    return new RatingSums(count * factor, sum * factor, sumOfSquares * factor);
  }

  /** Mean rating, or the fallback where there are no ratings. */
  public double mean(double fallback) {
    return count > 0 ? sum / count : fallback;
  }

  /** Variance of the ratings around their mean. */
  public double variance() {
    if (count <= 0) {
      return 0;
    }
    double mean = sum / count;
    return Math.max(0, sumOfSquares / count - mean * mean);
  }
}
