package org.guavagw.platform;

import java.util.List;

/** Outcome of a transaction that the table service has processed. Immutable. */
public sealed interface CommitResult {
  /** All changes were applied. */
  record Committed() implements CommitResult {}

  /** Nothing was applied because the conditions on these rows failed. */
  record Conflict(List<RowKey> keys) implements CommitResult {
    public Conflict {
      keys = List.copyOf(keys);
    }
  }
}
