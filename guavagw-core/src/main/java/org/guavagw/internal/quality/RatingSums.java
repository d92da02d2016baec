package org.guavagw.internal.quality;

/** Weighted count, sum and sum of squares of ratings. Immutable. */
public record RatingSums(double count, double sum, double sumOfSquares) {
  /** Sums of no ratings. */
  public static final RatingSums NONE = new RatingSums(0, 0, 0);

  /** Returns the sums of a single rating. */
  public static RatingSums of(double rating) {
    return new RatingSums(1, rating, rating * rating);
  }

  /** Returns the sums over the ratings of both. */
  public RatingSums plus(RatingSums other) {
    return new RatingSums(count + other.count, sum + other.sum, sumOfSquares + other.sumOfSquares);
  }

  /** Returns the sums with the ratings weighted by a factor. */
  public RatingSums scaled(double factor) {
    return new RatingSums(count * factor, sum * factor, sumOfSquares * factor);
  }

  /** Returns the mean rating, or the fallback if there are no ratings. */
  public double mean(double fallback) {
    return count > 0 ? sum / count : fallback;
  }

  /** Returns the variance of the ratings. */
  public double variance() {
    if (count <= 0) {
      return 0;
    }
    double mean = sum / count;
    return Math.max(0, sumOfSquares / count - mean * mean);
  }
}
