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
 * Collects the evidence of all entries and evaluates rollouts and serving versions.
 *
 * <p>Invariant: a rollout is evaluated by the evidence since its first assessment by this monitor,
 * over the same period for both versions. Thread-safe.
 */
public final class RolloutMonitor {
  private static final Duration BASELINE_LAG = Duration.ofMinutes(30);
  private static final String LOCAL_REPORTER = "local";
  private static final int MAX_LOCAL_ROWS = Integer.MAX_VALUE;

  private final Ticker ticker;
  private final RolloutAssessor assessor;
  private final EvidenceCollector local = new EvidenceCollector(LOCAL_REPORTER);
  private final EvidenceTable table = new EvidenceTable();
  private final ServingVersionMonitor servingMonitor;
  private final Map<String, StartingSums> startingSums = new HashMap<>();
  private final List<VersionEvidence> batch = new ArrayList<>();

  /**
   * Creates a monitor that uses the given test and settings; the ticker gives the time at which
   * evidence arrives.
   */
  public RolloutMonitor(Ticker ticker, SequentialTest test, MonitorSettings settings) {
    this.ticker = ticker;
    this.assessor = new RolloutAssessor(test, settings);
    this.servingMonitor = new ServingVersionMonitor(settings, BASELINE_LAG.toNanos());
  }

  /** Adds an outcome seen by this process. */
  public void observe(VersionOutcome outcome) {
    local.observe(outcome);
  }

  /** Adds an entry's report; an outdated or repeated report changes nothing. */
  public synchronized void addReport(EvidenceReport report) {
    batch.addAll(table.addReport(report));
  }

  /** Returns the verdict on a rollout. */
  public synchronized RolloutVerdict assess(RolloutConfig rollout) {
    addLocalReport();
    VersionRef suspect = new VersionRef(rollout.model(), rollout.toVersion());
    VersionRef reference = new VersionRef(rollout.model(), rollout.fromVersion());
    StartingSums start =
        startingSums.computeIfAbsent(
            rollout.id(),
            id -> new StartingSums(table.totalsOf(suspect), table.totalsOf(reference)));
    return assessor.assess(
        rollout,
        since(table.totalsOf(suspect), start.suspect()),
        since(table.totalsOf(reference), start.reference()));
  }

  /**
   * Compares every version with its own past; the evidence since the previous call is one batch.
   */
  public synchronized List<ServingFinding> assessServing() {
    addLocalReport();
    servingMonitor.add(sumByKey(batch), ticker.read());
    batch.clear();
    return servingMonitor.findings();
  }

  private void addLocalReport() {
    batch.addAll(table.addReport(local.takeReport(MAX_LOCAL_ROWS)));
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

  /** Sums at the first assessment of a rollout. Immutable. */
  private record StartingSums(
      Map<String, VersionEvidence> suspect, Map<String, VersionEvidence> reference) {}
}
