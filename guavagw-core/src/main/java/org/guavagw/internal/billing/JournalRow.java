package org.guavagw.internal.billing;

import org.guavagw.internal.rows.RowCodec;

/** State of a journal that is not finished yet. Immutable. */
record JournalRow(JournalId id, State state) {
  static final RowCodec<JournalRow> CODEC = RowCodec.of(JournalRow.class);

  /** Who may write segments to the journal. */
  enum State {
    /** Only its owner. */
    OPEN,
    /** Only the sweeper. */
    CLOSED
  }

  static JournalRow open(JournalId id) {
    return new JournalRow(id, State.OPEN);
  }

  JournalRow closed() {
    return new JournalRow(id, State.CLOSED);
  }
}
