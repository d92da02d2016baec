package org.guavagw.gateway.internal.peers;

/**
 * A weighted sum of samples. Immutable.
 *
 * @param count weight of the samples
 * @param sum weighted sum of their values
 */
public record SampleSum(double count, double sum) {
  /** No samples. */
  public static final SampleSum NONE = new SampleSum(0, 0);

  /** Returns the sum of both. */
  public SampleSum plus(SampleSum other) {
    return new SampleSum(count + other.count, sum + other.sum);
  }

  /** Returns this sum with the weights of its samples multiplied by a factor. */
  public SampleSum scaled(double factor) {
    return new SampleSum(count * factor, sum * factor);
  }
}
