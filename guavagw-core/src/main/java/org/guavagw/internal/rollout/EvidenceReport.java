package org.guavagw.internal.rollout;

import java.util.List;

/**
 * What one entry has seen since it started. Sums are cumulative, so a lost or repeated report does
 * no harm. Immutable.
 *
 * @param entry the entry and its start, so that a restarted entry is another reporter
 * @param sequence rises with each report of the entry
 * @param evidence rows that changed since the previous report
 */
public record EvidenceReport(String entry, long sequence, List<VersionEvidence> evidence) {
  public EvidenceReport {
    evidence = List.copyOf(evidence);
  }
}
