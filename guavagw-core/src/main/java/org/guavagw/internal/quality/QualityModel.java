package org.guavagw.internal.quality;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.statistics.distribution.BetaDistribution;
import org.guavagw.config.VersionRef;

/**
 * Estimates the expected rating of each version for each team and task class.
 *
 * <p>Invariants: the weight of a rating decays with every later rating of the same key; the prior
 * of a team is based on the ratings of all teams for the version. Thread-safe.
 */
public final class QualityModel {
  private static final double DECAY_PER_RATING = 1 - 1.0 / 400;
  private static final double INTERVAL_TAIL = 0.05;
  private static final double UNKNOWN_MEAN = 0.5;
  private static final double UNKNOWN_STRENGTH = 2;
  private static final double POOLED_STRENGTH = 10;

  private final Map<QualityKey, RatingSums> byTeam = new ConcurrentHashMap<>();
  private final Map<PooledKey, RatingSums> pooled = new ConcurrentHashMap<>();
  private final Map<QualityKey, RatingSums> unshared = new ConcurrentHashMap<>();
  private final Map<QualityKey, QualityEstimate> cache = new ConcurrentHashMap<>();

  /** Adds a rating observed by this entry; ratings outside 0 to 1 are ignored. */
  public void observe(QualityKey key, double rating) {
    if (!(rating >= 0 && rating <= 1)) {
      return;
    }
    RatingSums one = RatingSums.of(rating);
    unshared.merge(key, one, RatingSums::plus);
    addSums(key, one);
  }

  /** Adds ratings shared by another entry. */
  public void add(QualitySnapshot shared) {
    shared.sums().forEach(this::addSums);
  }

  /**
   * Returns the ratings that this entry observed since the last call, for sharing with other
   * entries.
   */
  public QualitySnapshot takeUnshared() {
    Map<QualityKey, RatingSums> taken = new HashMap<>();
    for (QualityKey key : Set.copyOf(unshared.keySet())) {
      RatingSums sums = unshared.remove(key);
      if (sums != null) {
        taken.put(key, sums);
      }
    }
    return new QualitySnapshot(taken);
  }

  /** Returns all ratings, with their decayed weights. */
  public QualitySnapshot snapshot() {
    return new QualitySnapshot(byTeam);
  }

  /** Returns the expected rating of the next answer. */
  public QualityEstimate estimate(QualityKey key) {
    return cache.computeIfAbsent(key, this::compute);
  }

  private void addSums(QualityKey key, RatingSums sums) {
    if (sums.count() <= 0) {
      return;
    }
    double decay = Math.pow(DECAY_PER_RATING, sums.count());
    double meanWeight = (1 - decay) / (sums.count() * (1 - DECAY_PER_RATING));
    RatingSums decayed = sums.scaled(meanWeight);
    byTeam.merge(key, decayed, (old, added) -> old.scaled(decay).plus(added));
    pooled.merge(PooledKey.of(key), decayed, (old, added) -> old.scaled(decay).plus(added));
    cache.remove(key);
  }

  private QualityEstimate compute(QualityKey key) {
    RatingSums all = pooled.getOrDefault(PooledKey.of(key), RatingSums.NONE);
    RatingSums own = byTeam.getOrDefault(key, RatingSums.NONE);
    double priorMean =
        (UNKNOWN_MEAN * UNKNOWN_STRENGTH + all.sum()) / (UNKNOWN_STRENGTH + all.count());
    double strength = Math.min(POOLED_STRENGTH, UNKNOWN_STRENGTH + all.count());
    double alpha = strength * priorMean + own.sum();
    double beta = strength * (1 - priorMean) + own.count() - own.sum();
    BetaDistribution posterior = BetaDistribution.of(alpha, beta);
    return new QualityEstimate(
        posterior.getMean(),
        posterior.inverseCumulativeProbability(INTERVAL_TAIL),
        posterior.inverseSurvivalProbability(INTERVAL_TAIL),
        own.count());
  }

  /** A key without its team. */
  private record PooledKey(String taskClass, VersionRef version) {
    static PooledKey of(QualityKey key) {
      return new PooledKey(key.taskClass(), key.version());
    }
  }
}
