package org.guavagw.platform;

/** One change of a transaction. Immutable; arrays must not be changed. */
public sealed interface Mutation {
  /** The row that changes. */
  RowKey key();

  /** Writes the row. */
  @SuppressWarnings("ArrayRecordComponent")
  record Put(RowKey key, byte[] value) implements Mutation {}

  /** Removes the row. */
  record Delete(RowKey key) implements Mutation {}
}
