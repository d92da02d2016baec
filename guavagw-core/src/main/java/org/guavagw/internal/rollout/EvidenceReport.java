package org.guavagw.internal.rollout;

import java.util.List;

/**
 * What one entry has seen since its previous report. Immutable.
 *
 * @param sequence rises by one with each report of the entry; a repeated report is ignored
 */
public record EvidenceReport(String entry, long sequence, List<VersionEvidence> evidence) {
  public EvidenceReport {
    evidence = List.copyOf(evidence);
  }
}
