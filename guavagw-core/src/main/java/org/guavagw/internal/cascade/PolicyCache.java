package org.guavagw.internal.cascade;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.quality.QualityKey;
import org.guavagw.internal.quality.QualityModel;

/**
 * Computes cascade policies and caches them until enough new ratings have arrived. Thread-safe.
 *
 * <p>Invariant: a lookup computes a policy only if there is none or if it is based on far fewer
 * ratings than are available; all other updates are left to {@link #refresh()}.
 */
final class PolicyCache {
  private static final int MAX_POLICIES = 2_000;
  private static final long MIN_NEW_RATINGS = 32;
  private static final long MAX_NEW_RATINGS = 500;
  private static final long OLD_RATINGS_DIVISOR = 50;
  private static final long OVERDUE_FACTOR = 8;
  private static final double TARGET_MARGIN = 0.003;

  private final QualityModel quality;
  private final CascadeLearner learner;
  private final Cache<Key, CascadePolicy> policies =
      Caffeine.newBuilder().maximumSize(MAX_POLICIES).build();

  PolicyCache(QualityModel quality, CascadeLearner learner) {
    this.quality = quality;
    this.learner = learner;
  }

  CascadePolicy policy(CascadeQuery query) {
    Key key = Key.of(query);
    CascadePolicy policy = policies.get(key, k -> compute(k, query.team()));
    if (newRatings(key, policy) >= OVERDUE_FACTOR * minNewRatings(policy)) {
      policy = compute(key, query.team());
      policies.put(key, policy);
    }
    return policy;
  }

  void refresh() {
    policies
        .asMap()
        .replaceAll((k, p) -> newRatings(k, p) >= minNewRatings(p) ? compute(k, Key.ANY_TEAM) : p);
  }

  private static long minNewRatings(CascadePolicy policy) {
    long share = policy.ratingCount() / OLD_RATINGS_DIVISOR;
    return Math.max(MIN_NEW_RATINGS, Math.min(MAX_NEW_RATINGS, share));
  }

  /**
   * Returns the number of ratings since the policy was computed, or of requests while no cascade
   * answer has been rated.
   */
  private long newRatings(Key key, CascadePolicy policy) {
    long ratingCount = learner.ratingCount(key.taskClass(), key.versions());
    if (ratingCount > 0) {
      return ratingCount - policy.ratingCount();
    }
    return learner.traffic(key.taskClass()).plannedCount() - policy.plannedBefore();
  }

  private CascadePolicy compute(Key key, String team) {
    List<StepModel> models = new ArrayList<>();
    for (VersionRef version : key.versions()) {
      double prior = quality.estimate(new QualityKey(team, key.taskClass(), version)).mean();
      models.add(learner.model(key.taskClass(), version, prior));
    }
    CascadeLearner.ClassTraffic traffic = learner.traffic(key.taskClass());
    double ratedShare = traffic.ratedShare();
    List<double[]> costs = traffic.costs(models.size());
    double target = key.target() + TARGET_MARGIN;
    QualityPrice rated = new PriceSolver(models, costs, ratedShare).solve(target);
    QualityPrice unrated = new PriceSolver(models, costs, 0).solve(target);
    long ratingCount = learner.ratingCount(key.taskClass(), key.versions());
    return new CascadePolicy(
        models,
        rated,
        new CascadeTableCache(models, costs, ratedShare, rated),
        new CascadeTableCache(models, costs, 0, unrated),
        ratingCount,
        traffic.plannedCount());
  }

  /** Inputs that identify a policy. Immutable. */
  private record Key(String taskClass, List<VersionRef> versions, double target) {
    private static final String ANY_TEAM = "";

    static Key of(CascadeQuery query) {
      return new Key(
          query.cascade().taskClass(),
          query.steps().stream().map(CascadeStep::version).toList(),
          query.cascade().qualityTarget());
    }
  }
}
