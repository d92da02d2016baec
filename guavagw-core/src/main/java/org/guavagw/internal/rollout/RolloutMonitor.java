package org.guavagw.internal.rollout;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.VersionRef;

/**
 * Gathers the evidence of all entries and judges rollouts and versions in service by it.
 *
 * <p>Invariant: a rollout is judged by what was seen since this monitor first heard of it, of both
 * versions over the same time. Thread-safe.
 */
public final class RolloutMonitor {
  private static final Duration PAST_LAG = Duration.ofMinutes(30);
  private static final String LOCAL_ENTRY = "local";
  private static final int MAX_LOCAL_ROWS = Integer.MAX_VALUE;

  private final Ticker ticker;
  private final RolloutAssessor assessor;
  private final EvidenceCollector local = new EvidenceCollector(LOCAL_ENTRY);
  private final EvidenceTable table = new EvidenceTable();
  private final ServingWatch watch;
  private final Map<String, Start> starts = new HashMap<>();
  private final List<VersionEvidence> batch = new ArrayList<>();

  /** Judges by the given test and settings; the ticker places evidence in time. */
  public RolloutMonitor(Ticker ticker, SequentialTest test, MonitorSettings settings) {
    this.ticker = ticker;
    this.assessor = new RolloutAssessor(test, settings);
    this.watch = new ServingWatch(settings, PAST_LAG.toNanos());
  }

  /** Takes in an outcome that this process saw itself. */
  public void observe(VersionOutcome outcome) {
    local.observe(outcome);
  }

  /** Takes in an entry's report; an old or repeated one changes nothing. */
  public synchronized void absorb(EvidenceReport report) {
    batch.addAll(table.absorb(report));
  }

  /** Judges a rollout. */
  public synchronized RolloutVerdict assess(RolloutConfig rollout) {
    absorbLocal();
    VersionRef suspect = new VersionRef(rollout.model(), rollout.toVersion());
    VersionRef reference = new VersionRef(rollout.model(), rollout.fromVersion());
    Start start =
        starts.computeIfAbsent(
            rollout.id(), id -> new Start(table.of(suspect), table.of(reference)));
    return assessor.assess(
        rollout,
        since(table.of(suspect), start.suspect()),
        since(table.of(reference), start.reference()));
  }

  /** Judges every version by its own past, with what came since the last call as one batch. */
  public synchronized List<ServingFinding> assessServing() {
    absorbLocal();
    watch.add(sumByKey(batch), ticker.read());
    batch.clear();
    return watch.findings();
  }

  private void absorbLocal() {
    batch.addAll(table.absorb(local.takeReport(MAX_LOCAL_ROWS)));
  }

  private static List<VersionEvidence> sumByKey(List<VersionEvidence> rows) {
    Map<EvidenceKey, VersionEvidence> sums = new LinkedHashMap<>();
    rows.forEach(r -> sums.merge(EvidenceKey.of(r), r, VersionEvidence::plus));
    return List.copyOf(sums.values());
  }

  private static Map<String, VersionEvidence> since(
      Map<String, VersionEvidence> now, Map<String, VersionEvidence> start) {
    Map<String, VersionEvidence> rows = new LinkedHashMap<>();
    now.forEach(
        (taskClass, sums) -> {
          VersionEvidence before = start.get(taskClass);
          rows.put(taskClass, before == null ? sums : sums.minus(before));
        });
    return rows;
  }

  /** Sums at the time when a rollout was first heard of. Immutable. */
  private record Start(
      Map<String, VersionEvidence> suspect, Map<String, VersionEvidence> reference) {}
}
