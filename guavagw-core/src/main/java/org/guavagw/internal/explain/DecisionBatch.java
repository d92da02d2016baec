package org.guavagw.internal.explain;

import java.util.List;

/** Records of one entry from one hour, as the object store keeps them. Immutable. */
record DecisionBatch(List<DecisionRecord> records, List<LossNote> losses) {
  DecisionBatch {
    records = List.copyOf(records);
    losses = List.copyOf(losses);
  }
}
