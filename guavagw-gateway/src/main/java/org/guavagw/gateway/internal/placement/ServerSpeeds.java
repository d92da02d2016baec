package org.guavagw.gateway.internal.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.guavagw.gateway.internal.peers.SampleSum;

/**
 * Learns the speed of each incarnation relative to others that do the same kind of work.
 *
 * <p>A sample compares the logarithm of a time with what is expected of its kind of work. With few
 * samples the speed stays close to 1. Samples of all entries are used where they are known. Not
 * thread-safe.
 */
final class ServerSpeeds {
  /** Samples at speed 1 that are assumed for every incarnation. */
  private static final double PRIOR_SAMPLES = 3;

  /** Largest logarithm of a sample, so that a stalled attempt weighs little. */
  private static final double MAX_LOG = 1.2;

  /** No entry measures as many requests in the time that a report covers. */
  private static final double MAX_COUNT = 1e6;

  /** Samples of a kind of work before its times are compared. */
  private static final int MIN_KIND_SAMPLES = 4;

  /** Most samples that the expected time of a kind of work is averaged over. */
  private static final int MAX_KIND_SAMPLES = 100;

  private final Map<String, SampleSum> own = new HashMap<>();
  private Map<String, SampleSum> shared = Map.of();
  private final Map<String, KindMean> kinds = new HashMap<>();

  /** Returns the speed of an incarnation; 1 until samples tell. */
  double speed(String incarnation) {
    SampleSum sum = shared.get(incarnation);
    if (sum == null) {
      sum = own.getOrDefault(incarnation, SampleSum.NONE);
    }
    return Math.exp(sum.sum() / (sum.count() + PRIOR_SAMPLES));
  }

  /** Records a time of a kind of work whose expected time is learned here. */
  void onTime(String incarnation, String kind, double millis) {
    if (millis <= 0) {
      return;
    }
    KindMean mean = kinds.computeIfAbsent(kind, k -> new KindMean());
    double log = Math.log(millis);
    mean.add(log);
    if (mean.count >= MIN_KIND_SAMPLES) {
      record(incarnation, mean.value - log);
    }
  }

  /** Records a time whose expected value at speed 1 is known. */
  void onTime(String incarnation, double expectedMillis, double millis) {
    if (millis > 0 && expectedMillis > 0) {
      record(incarnation, Math.log(expectedMillis / millis));
    }
  }

  Map<String, SampleSum> own() {
    return own;
  }

  /** Gives earlier samples less weight. */
  void decay(double factor) {
    own.replaceAll((incarnation, sum) -> sum.scaled(factor));
  }

  /** Uses the samples of all entries. */
  void use(Map<String, SampleSum> sums) {
    shared = sums;
  }

  void retain(Set<String> incarnations) {
    own.keySet().retainAll(incarnations);
  }

  /** Returns whether a sum can be true. */
  static boolean isPlausible(SampleSum sum) {
    return sum.count() >= 0
        && sum.count() <= MAX_COUNT
        && Math.abs(sum.sum()) <= sum.count() * MAX_LOG * (1 + 1e-6);
  }

  private void record(String incarnation, double log) {
    double bounded = Math.max(-MAX_LOG, Math.min(MAX_LOG, log));
    own.merge(incarnation, new SampleSum(1, bounded), SampleSum::plus);
  }

  /** The mean logarithm of the times of a kind of work. */
  private static final class KindMean {
    private int count;
    private double value;

    void add(double log) {
      count = Math.min(MAX_KIND_SAMPLES, count + 1);
      value += (log - value) / count;
    }
  }
}
