package org.guavagw.platform;

/** What must hold of a row for a transaction to commit. Immutable. */
public sealed interface Condition {
  /** The row that the condition is about. */
  RowKey key();

  /** The row must not exist. */
  record Absent(RowKey key) implements Condition {}

  /** The row must still have the version that was read. */
  record VersionIs(RowKey key, long version) implements Condition {}
}
