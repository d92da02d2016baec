package org.guavagw.internal.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.config.VersionRef;

/**
 * Newest cumulative evidence of every entry, and the sum over entries.
 *
 * <p>Invariant: a report with an old sequence number changes nothing. Not thread-safe.
 */
final class EvidenceTable {
  private final Map<String, Reporter> reporters = new HashMap<>();
  private final Map<EvidenceKey, VersionEvidence> totals = new LinkedHashMap<>();

  /** Takes in a report and gives what is new in it; what a new reporter saw before is not new. */
  List<VersionEvidence> absorb(EvidenceReport report) {
    Reporter known = reporters.get(report.entry());
    Reporter reporter = reporters.computeIfAbsent(report.entry(), e -> new Reporter());
    if (report.sequence() <= reporter.sequence) {
      return List.of();
    }
    reporter.sequence = report.sequence();
    List<VersionEvidence> fresh = new ArrayList<>();
    for (VersionEvidence row : report.evidence()) {
      VersionEvidence delta = reporter.replace(row);
      add(delta);
      if (known != null) {
        fresh.add(delta);
      }
    }
    return fresh;
  }

  /** Adds evidence that belongs to no reporter. */
  void add(VersionEvidence delta) {
    totals.merge(EvidenceKey.of(delta), delta, VersionEvidence::plus);
  }

  /** Sums over all entries by task class. */
  Map<String, VersionEvidence> of(VersionRef version) {
    Map<String, VersionEvidence> rows = new LinkedHashMap<>();
    totals.forEach(
        (k, v) -> {
          if (k.version().equals(version)) {
            rows.put(k.taskClass(), v);
          }
        });
    return rows;
  }

  /** Newest cumulative sums of one entry. */
  private static final class Reporter {
    private final Map<EvidenceKey, VersionEvidence> rows = new HashMap<>();
    private long sequence;

    VersionEvidence replace(VersionEvidence row) {
      VersionEvidence old = rows.put(EvidenceKey.of(row), row);
      return old == null ? row : row.minus(old);
    }
  }
}
