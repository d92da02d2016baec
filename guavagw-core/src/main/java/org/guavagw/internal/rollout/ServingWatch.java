package org.guavagw.internal.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares each version with its own past.
 *
 * <p>Invariant: evidence becomes part of the past only after the lag, so that a change is not
 * hidden by what it brought. Not thread-safe.
 */
final class ServingWatch {
  private static final double PAST_TRIALS = 20_000;

  private final MonitorSettings settings;
  private final long lagNanos;
  private final Map<EvidenceKey, Stream> streams = new LinkedHashMap<>();

  ServingWatch(MonitorSettings settings, long lagNanos) {
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

  /** Evidence of one version and task class. */
  private final class Stream {
    private final EvidenceKey key;
    private final Deque<Batch> recent = new ArrayDeque<>();
    private final Map<Signal, ChangeDetector> detectors = new EnumMap<>(Signal.class);
    private VersionEvidence past;

    Stream(EvidenceKey key) {
      this.key = key;
      this.past = VersionEvidence.none(key.version(), key.taskClass());
      for (Signal signal : Signal.values()) {
        double margin = settings.margin(signal);
        detectors.put(signal, new ChangeDetector(margin, settings.alarmInterval()));
      }
    }

    void add(VersionEvidence row, long nowNanos) {
      recent.add(new Batch(row, nowNanos));
      while (nowNanos - recent.peek().atNanos() >= lagNanos) {
        moveToPast(recent.poll().evidence());
      }
      detectors.forEach((signal, d) -> d.add(signal.of(row), signal.of(past)));
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
      Tally now = recent.stream().map(b -> signal.of(b.evidence())).reduce(Tally.NONE, Tally::plus);
      return new Finding(signal, key.taskClass(), now, signal.of(past), detector.logEvidence());
    }

    private void moveToPast(VersionEvidence row) {
      double decay = Math.max(0, 1 - row.errors().trials() / PAST_TRIALS);
      past = past.scaled(decay).plus(row);
    }
  }

  /** Evidence and when it came. Immutable. */
  private record Batch(VersionEvidence evidence, long atNanos) {}
}
