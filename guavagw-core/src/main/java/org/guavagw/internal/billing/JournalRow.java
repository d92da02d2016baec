package org.guavagw.internal.billing;

import org.guavagw.internal.rows.RowCodec;

/** State of a live journal. Immutable. */
record JournalRow(JournalId id, State state) {
  static final RowCodec<JournalRow> CODEC = RowCodec.of(JournalRow.class);

  /** Who may add to the journal. */
  enum State {
    /** Its owner. */
    OPEN,
    /** The sweeper alone. */
    CLOSED
  }

  static JournalRow open(JournalId id) {
    return new JournalRow(id, State.OPEN);
  }

  JournalRow closed() {
    return new JournalRow(id, State.CLOSED);
  }
}
