package org.guavagw.internal.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects serving versions that have become worse than their own baseline.
 *
 * <p>Invariant: evidence enters the baseline only after the lag, so that a deterioration does not
 * hide itself by moving the baseline. Not thread-safe.
 */
final class ServingVersionMonitor {
  private static final double MAX_BASELINE_TRIALS = 20_000;

  private final MonitorSettings settings;
  private final long lagNanos;
  private final Map<EvidenceKey, Stream> streams = new LinkedHashMap<>();

  ServingVersionMonitor(MonitorSettings settings, long lagNanos) {
    this.settings = settings;
    this.lagNanos = lagNanos;
  }

  void add(List<VersionEvidence> batch, long nowNanos) {
    for (VersionEvidence row : batch) {
      streams.computeIfAbsent(EvidenceKey.of(row), Stream::new).add(row, nowNanos);
    }
  }

  List<ServingFinding> findings() {
    List<ServingFinding> findings = new ArrayList<>();
    streams.values().forEach(s -> s.addFindings(findings));
    return findings;
  }

  /** Evidence on one version and task class. */
  private final class Stream {
    private final EvidenceKey key;
    private final Deque<Batch> recent = new ArrayDeque<>();
    private final Map<Signal, ChangeDetector> detectors = new EnumMap<>(Signal.class);
    private VersionEvidence baseline;

    Stream(EvidenceKey key) {
      this.key = key;
      this.baseline = VersionEvidence.none(key.version(), key.taskClass());
      for (Signal signal : Signal.values()) {
        double margin = settings.margin(signal);
        detectors.put(signal, new ChangeDetector(margin, settings.alarmInterval()));
      }
    }

    void add(VersionEvidence row, long nowNanos) {
      recent.add(new Batch(row, nowNanos));
      while (nowNanos - recent.peek().atNanos() >= lagNanos) {
        moveToBaseline(recent.poll().evidence());
      }
      detectors.forEach((signal, d) -> d.add(signal.tallyOf(row), signal.tallyOf(baseline)));
    }

    void addFindings(List<ServingFinding> findings) {
      detectors.forEach(
          (signal, d) -> {
            if (d.isAlarmed()) {
              findings.add(new ServingFinding(key.version(), finding(signal, d)));
            }
          });
    }

    private Finding finding(Signal signal, ChangeDetector detector) {
      Tally current =
          recent.stream().map(b -> signal.tallyOf(b.evidence())).reduce(Tally.NONE, Tally::plus);
      return new Finding(
          signal, key.taskClass(), current, signal.tallyOf(baseline), detector.logEvidence());
    }

    private void moveToBaseline(VersionEvidence row) {
      double decay = Math.max(0, 1 - row.errors().trials() / MAX_BASELINE_TRIALS);
      baseline = baseline.scaled(decay).plus(row);
    }
  }

  /** Evidence and the time at which it was added. Immutable. */
  private record Batch(VersionEvidence evidence, long atNanos) {}
}
