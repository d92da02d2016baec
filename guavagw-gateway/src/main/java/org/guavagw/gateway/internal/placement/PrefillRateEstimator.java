package org.guavagw.gateway.internal.placement;

import java.util.HashMap;
import java.util.Map;
import org.guavagw.gateway.internal.peers.PrefillSums;

/**
 * Estimates the prefill time of each model at speed 1 from times to first event.
 *
 * <p>The time is a fixed part plus a part proportional to the prefill work; both are fitted by
 * least squares of the relative error, starting from a prior. Models differ by a factor of ten, so
 * each has a fit of its own. Not thread-safe.
 */
final class PrefillRateEstimator {
  /** Larger sums than any entry can measure; the sum of many of them is still finite. */
  private static final double MAX_SUM = 1e30;

  /** Prompt length at which attention takes as long as the rest of the prefill, in tokens. */
  private static final double ATTENTION_TOKENS = 60_000;

  /** Work below which the error of a sample is absolute and not relative, in tokens. */
  private static final double RELATIVE_ERROR_TOKENS = 500;

  /** Samples that make a fit differ from its prior. */
  private static final double MIN_SAMPLES = 3;

  private static final double MIN_MILLIS_PER_TOKEN = 0.0005;
  private static final double MAX_MILLIS_PER_TOKEN = 1;
  private static final double MAX_FIXED_MILLIS = 500;

  /** Two samples of 20 tokens per millisecond and 10 ms. */
  private static final PrefillSums PRIOR = sample(0, 10).plus(sample(4000, 210));

  private static final Fit PRIOR_FIT = fit(PRIOR);

  private final Map<String, PrefillSums> own = new HashMap<>();
  private Map<String, PrefillSums> shared = Map.of();
  private final Map<String, Fit> fits = new HashMap<>();
  private final Map<String, Integer> samples = new HashMap<>();

  /** Returns the work of the prefill of a prompt whose first tokens are cached, in tokens. */
  static double work(int tokens, int cached) {
    int known = Math.min(cached, tokens);
    double pairs = ((double) tokens * tokens - (double) known * known) / ATTENTION_TOKENS;
    return tokens - known + pairs;
  }

  /** Records the first event of an attempt on an empty prompt queue, its time at speed 1. */
  void onUnqueuedFirstEvent(String model, double work, double millis) {
    own.merge(model, sample(work, millis), PrefillSums::plus);
    samples.merge(model, 1, Integer::sum);
    fits.remove(model);
  }

  /** Returns the prefill time of some work, without the fixed part. */
  double millis(String model, double work) {
    return fitOf(model).millisPerToken() * work;
  }

  /** Returns the part of the time to the first event that does not depend on the prompt. */
  double fixedMillis(String model) {
    return fitOf(model).fixedMillis();
  }

  /** Returns whether the times of a model are known from more than the prior. */
  boolean isFitted(String model) {
    return shared.containsKey(model) || samples.getOrDefault(model, 0) >= MIN_SAMPLES;
  }

  Map<String, PrefillSums> own() {
    return own;
  }

  /** Gives earlier samples less weight. */
  void decay(double factor) {
    own.replaceAll((model, sums) -> sums.scaled(factor));
  }

  /** Uses the sums of all entries. */
  void use(Map<String, PrefillSums> sums) {
    shared = sums;
    fits.clear();
  }

  /** Returns whether sums can be true. */
  static boolean isPlausible(PrefillSums s) {
    return s.weight() >= 0
        && s.x() >= 0
        && s.y() >= 0
        && s.xx() >= 0
        && s.xy() >= 0
        && Math.max(s.weight(), Math.max(s.x(), s.y())) <= MAX_SUM
        && Math.max(s.xx(), s.xy()) <= MAX_SUM;
  }

  private Fit fitOf(String model) {
    return fits.computeIfAbsent(model, this::newFit);
  }

  private Fit newFit(String model) {
    PrefillSums sums = shared.getOrDefault(model, own.get(model));
    return sums == null ? PRIOR_FIT : fit(PRIOR.plus(sums));
  }

  private static PrefillSums sample(double work, double millis) {
    double scale = 1 + work / RELATIVE_ERROR_TOKENS;
    return PrefillSums.of(work, millis, 1 / (scale * scale));
  }

  private static Fit fit(PrefillSums s) {
    double variance = s.weight() * s.xx() - s.x() * s.x();
    double slope = !(variance > 0) ? 0 : (s.weight() * s.xy() - s.x() * s.y()) / variance;
    double perToken = Math.min(MAX_MILLIS_PER_TOKEN, Math.max(MIN_MILLIS_PER_TOKEN, slope));
    double fixed = (s.y() - perToken * s.x()) / s.weight();
    return new Fit(Math.min(MAX_FIXED_MILLIS, Math.max(0, fixed)), perToken);
  }

  /** A fitted line. Immutable. */
  private record Fit(double fixedMillis, double millisPerToken) {}
}
