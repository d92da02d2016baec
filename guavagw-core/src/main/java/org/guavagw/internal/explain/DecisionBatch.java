package org.guavagw.internal.explain;

import java.util.List;

/** Content of one object: records of one entry from one hour. Immutable. */
record DecisionBatch(List<DecisionRecord> records, List<RecordLoss> losses) {
  DecisionBatch {
    records = List.copyOf(records);
    losses = List.copyOf(losses);
  }
}
