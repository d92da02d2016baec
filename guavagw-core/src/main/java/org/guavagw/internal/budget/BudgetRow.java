package org.guavagw.internal.budget;

import org.guavagw.internal.rows.RowCodec;
import org.guavagw.platform.RowKey;

/**
 * How much of a team's budget of one day all entries have taken. Immutable.
 *
 * @param writer the entry that wrote the row last
 * @param writeId differs between writes of one entry, to recognise one whose answer was lost
 */
record BudgetRow(long takenMicros, String writer, long writeId) {
  static final RowCodec<BudgetRow> CODEC = RowCodec.of(BudgetRow.class);

  private static final String TABLE = "budget";

  static RowKey key(String team, long epochDay) {
    return new RowKey(TABLE, epochDay + "~" + team);
  }

  boolean wasWrittenBy(BudgetRow other) {
    return writer.equals(other.writer) && writeId == other.writeId;
  }
}
