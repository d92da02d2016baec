package org.guavagw.internal.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.config.VersionRef;

/**
 * Latest cumulative evidence of every entry, and the sums over all entries.
 *
 * <p>Invariant: a report whose sequence number is not newer than the last one changes nothing. Not
 * thread-safe.
 */
final class EvidenceTable {
  private final Map<String, Reporter> reporters = new HashMap<>();
  private final Map<EvidenceKey, VersionEvidence> totals = new LinkedHashMap<>();

  /**
   * Adds a report and returns the increments since the entry's previous report. Returns none for
   * the first report of an entry, because its sums may cover any length of time.
   */
  List<VersionEvidence> addReport(EvidenceReport report) {
    Reporter previous = reporters.get(report.entry());
    Reporter reporter = reporters.computeIfAbsent(report.entry(), e -> new Reporter());
    if (report.sequence() <= reporter.sequence) {
      return List.of();
    }
    reporter.sequence = report.sequence();
    List<VersionEvidence> increments = new ArrayList<>();
    for (VersionEvidence row : report.evidence()) {
      VersionEvidence delta = reporter.replace(row);
      addToTotals(delta);
      if (previous != null) {
        increments.add(delta);
      }
    }
    return increments;
  }

  /** Adds evidence to the sums over all entries. */
  void addToTotals(VersionEvidence delta) {
    totals.merge(EvidenceKey.of(delta), delta, VersionEvidence::plus);
  }

  /** Returns the sums over all entries by task class. */
  Map<String, VersionEvidence> totalsOf(VersionRef version) {
    Map<String, VersionEvidence> rows = new LinkedHashMap<>();
    totals.forEach(
        (k, v) -> {
          if (k.version().equals(version)) {
            rows.put(k.taskClass(), v);
          }
        });
    return rows;
  }

  /** Latest cumulative sums of one entry. */
  private static final class Reporter {
    private final Map<EvidenceKey, VersionEvidence> rows = new HashMap<>();
    private long sequence;

    VersionEvidence replace(VersionEvidence row) {
      VersionEvidence old = rows.put(EvidenceKey.of(row), row);
      return old == null ? row : row.minus(old);
    }
  }
}
