package org.guavagw.internal.rollout;

import java.util.List;

/**
 * Evidence collected by one entry since it started. The sums are cumulative, so lost or repeated
 * reports are harmless. Immutable.
 *
 * @param entry name of the entry's current run; a restarted entry reports under another name
 * @param sequence increases with each report of the entry
 * @param evidence rows that changed since the previous report
 */
public record EvidenceReport(String entry, long sequence, List<VersionEvidence> evidence) {
  public EvidenceReport {
    evidence = List.copyOf(evidence);
  }
}
