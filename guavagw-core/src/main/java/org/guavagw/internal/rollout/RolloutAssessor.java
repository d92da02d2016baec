package org.guavagw.internal.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.config.RolloutConfig;

/**
 * Evaluates a rollout by the evidence on its old and new version. Immutable and thread-safe.
 *
 * <p>Invariant: an alarm depends on the mean of the evidence over all signals and task classes, so
 * that the bound on false alarms holds for the rollout as a whole.
 */
final class RolloutAssessor {
  private static final String ALL_CLASSES = "*";
  private static final double CLASS_HARM_FACTOR = 2;
  private static final double MAX_CLASS_HARM = 0.4;
  private static final List<Signal> GUARDED_SIGNALS =
      List.of(Signal.RATING, Signal.POOR_ANSWERS, Signal.ERRORS);

  private final SequentialTest test;
  private final MonitorSettings settings;

  RolloutAssessor(SequentialTest test, MonitorSettings settings) {
    this.test = test;
    this.settings = settings;
  }

  RolloutVerdict assess(
      RolloutConfig rollout,
      Map<String, VersionEvidence> suspect,
      Map<String, VersionEvidence> reference) {
    Optional<Finding> finding = findAlarm(suspect, reference);
    if (finding.isPresent()) {
      return finding.get().signal() == Signal.LATENCY
          ? new RolloutVerdict.Hold(finding.get())
          : new RolloutVerdict.Withdraw(finding.get());
    }
    return excludesHarm(rollout, suspect, reference)
        ? new RolloutVerdict.Advance()
        : new RolloutVerdict.Continue();
  }

  private Optional<Finding> findAlarm(
      Map<String, VersionEvidence> suspect, Map<String, VersionEvidence> reference) {
    List<Finding> findings = new ArrayList<>();
    suspect.forEach(
        (taskClass, s) -> {
          if (reference.containsKey(taskClass)) {
            addFindings(findings, taskClass, s, reference.get(taskClass));
          }
        });
    if (findings.isEmpty()) {
      return Optional.empty();
    }
    addFindings(findings, ALL_CLASSES, pooled(suspect), pooled(reference));
    double[] logs = findings.stream().mapToDouble(Finding::logEvidence).toArray();
    if (LogOddsMixture.logMean(logs) < -Math.log(settings.falseAlarmChance())) {
      return Optional.empty();
    }
    return findings.stream().max((a, b) -> Double.compare(a.logEvidence(), b.logEvidence()));
  }

  private void addFindings(
      List<Finding> findings, String taskClass, VersionEvidence s, VersionEvidence r) {
    for (Signal signal : Signal.values()) {
      double logEvidence =
          test.logEvidence(signal.tallyOf(s), signal.tallyOf(r), settings.margin(signal));
      findings.add(
          new Finding(signal, taskClass, signal.tallyOf(s), signal.tallyOf(r), logEvidence));
    }
  }

  private boolean excludesHarm(
      RolloutConfig rollout,
      Map<String, VersionEvidence> suspect,
      Map<String, VersionEvidence> reference) {
    if (suspect.isEmpty() || !suspect.keySet().containsAll(reference.keySet())) {
      return false;
    }
    int next = Math.min(rollout.stage() + 1, rollout.stagesPercent().size() - 1);
    double harm = settings.maxHarmAt(rollout.stagesPercent().get(next));
    double classHarm = Math.min(MAX_CLASS_HARM, harm * CLASS_HARM_FACTOR);
    return excludesHarm(pooled(suspect), pooled(reference), harm)
        && suspect.entrySet().stream()
            .filter(e -> reference.containsKey(e.getKey()))
            .allMatch(e -> excludesHarm(e.getValue(), reference.get(e.getKey()), classHarm));
  }

  private boolean excludesHarm(VersionEvidence s, VersionEvidence r, double harm) {
    double threshold = -Math.log(settings.falseAdvanceChance());
    return GUARDED_SIGNALS.stream()
        .allMatch(
            signal ->
                test.logEvidence(
                        signal.tallyOf(s).complement(), signal.tallyOf(r).complement(), -harm)
                    >= threshold);
  }

  private static VersionEvidence pooled(Map<String, VersionEvidence> rows) {
    return rows.values().stream().reduce(VersionEvidence::plus).orElseThrow();
  }
}
