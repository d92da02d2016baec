package org.guavagw.internal.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts the outcomes seen by one entry and builds its evidence reports.
 *
 * <p>Invariant: the sums never decrease. The limit above which an answer counts as slow tracks a
 * latency quantile over all versions of a task class, so that all versions are held to the same
 * limit. Thread-safe.
 */
public final class EvidenceCollector {
  private static final double POOR_RATING = 0.5;
  private static final double SLOW_QUANTILE = 0.9;
  private static final double LOG_LATENCY_STEP = 0.02;

  private final String entry;
  private final Map<EvidenceKey, VersionEvidence> sums = new HashMap<>();
  private final Set<EvidenceKey> changed = new LinkedHashSet<>();
  private final Map<String, Double> logSlowLimit = new HashMap<>();
  private long sequence;

  /** Creates a collector for an entry; the name must differ after each restart of the entry. */
  public EvidenceCollector(String entry) {
    this.entry = entry;
  }

  /** Adds an outcome. */
  public synchronized void observe(VersionOutcome outcome) {
    EvidenceKey key = new EvidenceKey(outcome.version(), outcome.taskClass());
    VersionEvidence old =
        sums.getOrDefault(key, VersionEvidence.none(key.version(), key.taskClass()));
    sums.put(key, withRating(withAnswer(old, outcome), outcome));
    changed.add(key);
  }

  /**
   * Returns the rows that changed since the previous report, at most the given number, oldest
   * change first.
   */
  public synchronized EvidenceReport takeReport(int maxRows) {
    List<EvidenceKey> keys = changed.stream().limit(maxRows).toList();
    List<VersionEvidence> rows = new ArrayList<>();
    keys.forEach(k -> rows.add(sums.get(k)));
    keys.forEach(changed::remove);
    sequence++;
    return new EvidenceReport(entry, sequence, rows);
  }

  private VersionEvidence withAnswer(VersionEvidence old, VersionOutcome outcome) {
    if (!outcome.countsAnswer()) {
      return old;
    }
    Tally errors = old.errors().plusTrial(outcome.failed() ? 1 : 0);
    Tally slow = old.slow();
    if (!outcome.failed()) {
      slow = slow.plusTrial(isSlow(outcome.taskClass(), outcome.latency()) ? 1 : 0);
    }
    return new VersionEvidence(
        old.version(), old.taskClass(), errors, slow, old.ratings(), old.poor());
  }

  private static VersionEvidence withRating(VersionEvidence old, VersionOutcome outcome) {
    if (outcome.rating().isEmpty()) {
      return old;
    }
    double rating = outcome.rating().getAsDouble();
    if (!(rating >= 0 && rating <= 1)) {
      return old;
    }
    return new VersionEvidence(
        old.version(),
        old.taskClass(),
        old.errors(),
        old.slow(),
        old.ratings().plusTrial(1 - rating),
        old.poor().plusTrial(rating < POOR_RATING ? 1 : 0));
  }

  private boolean isSlow(String taskClass, Duration latency) {
    double log = Math.log((double) Math.max(1, latency.toNanos()));
    double limit = logSlowLimit.getOrDefault(taskClass, log);
    boolean slow = log > limit;
    double step = slow ? SLOW_QUANTILE : SLOW_QUANTILE - 1;
    logSlowLimit.put(taskClass, limit + LOG_LATENCY_STEP * step);
    return slow;
  }
}
