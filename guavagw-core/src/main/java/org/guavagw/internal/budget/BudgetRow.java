package org.guavagw.internal.budget;

import org.guavagw.internal.rows.RowCodec;
import org.guavagw.platform.RowKey;

/**
 * The amount of a team's budget of one day that all entries together have taken. Immutable.
 *
 * @param writer the incarnation of an entry that wrote the row last
 * @param writeId unique among the writes of one incarnation, to recognise a write whose answer was
 *     lost
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
