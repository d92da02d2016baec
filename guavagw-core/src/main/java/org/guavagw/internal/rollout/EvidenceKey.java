package org.guavagw.internal.rollout;

import org.guavagw.config.VersionRef;

/** Key of a row of evidence. Immutable. */
record EvidenceKey(VersionRef version, String taskClass) {
  static EvidenceKey of(VersionEvidence evidence) {
    return new EvidenceKey(evidence.version(), evidence.taskClass());
  }
}
