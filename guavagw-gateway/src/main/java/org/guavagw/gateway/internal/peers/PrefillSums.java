package org.guavagw.gateway.internal.peers;

/**
 * The sums of a weighted linear regression of prefill times on prefill work. Immutable.
 *
 * @param weight sum of the weights
 * @param x weighted sum of the work
 * @param y weighted sum of the times
 * @param xx weighted sum of the squared work
 * @param xy weighted sum of the products of work and time
 */
public record PrefillSums(double weight, double x, double y, double xx, double xy) {
  /** No samples. */
  public static final PrefillSums NONE = new PrefillSums(0, 0, 0, 0, 0);

  /** Returns the sums of one sample. */
  public static PrefillSums of(double work, double millis, double weight) {
    return new PrefillSums(
        weight, weight * work, weight * millis, weight * work * work, weight * work * millis);
  }

  /** Returns the sum of both. */
  public PrefillSums plus(PrefillSums other) {
    return new PrefillSums(
        weight + other.weight, x + other.x, y + other.y, xx + other.xx, xy + other.xy);
  }

  /** Returns these sums with the weights of their samples multiplied by a factor. */
  public PrefillSums scaled(double factor) {
    return new PrefillSums(weight * factor, x * factor, y * factor, xx * factor, xy * factor);
  }
}
