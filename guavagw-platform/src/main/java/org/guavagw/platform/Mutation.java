package org.guavagw.platform;

/** One change of a transaction. Immutable; the arrays must not be modified. */
public sealed interface Mutation {
  /** Returns the key of the row. */
  RowKey key();

  /** Writes the row. */
  @SuppressWarnings("ArrayRecordComponent")
  record Put(RowKey key, byte[] value) implements Mutation {}

  /** Deletes the row. */
  record Delete(RowKey key) implements Mutation {}
}
