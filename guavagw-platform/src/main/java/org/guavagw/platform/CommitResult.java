package org.guavagw.platform;

import java.util.List;

/** Outcome of a transaction that the table service has decided on. Immutable. */
public sealed interface CommitResult {
  /** All changes took effect. */
  record Committed() implements CommitResult {}

  /** Nothing took effect; these rows failed their conditions. */
  record Conflict(List<RowKey> keys) implements CommitResult {
    public Conflict {
      keys = List.copyOf(keys);
    }
  }
}
