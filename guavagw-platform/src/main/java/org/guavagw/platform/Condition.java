package org.guavagw.platform;

/** Condition on a row that must hold for a transaction to commit. Immutable. */
public sealed interface Condition {
  /** Returns the key of the row. */
  RowKey key();

  /** The row must not exist. */
  record Absent(RowKey key) implements Condition {}

  /** The row must still have the version that was read. */
  record VersionIs(RowKey key, long version) implements Condition {}
}
