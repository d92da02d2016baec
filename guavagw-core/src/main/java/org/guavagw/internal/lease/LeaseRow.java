package org.guavagw.internal.lease;

import org.guavagw.internal.rows.RowCodec;

/**
 * What the table service keeps about one lease. Immutable.
 *
 * @param holder process that holds the lease, empty after a release
 * @param incarnation tells apart two lives of a process of the same name
 * @param fencingNumber rises with every holder and never falls, not even by a release
 * @param durationMs how long the hold lasts from the moment the row was written
 * @param writeId differs with every write of the row, to recognise a write whose answer was lost
 */
record LeaseRow(
    String holder, long incarnation, long fencingNumber, long durationMs, long writeId) {
  static final RowCodec<LeaseRow> CODEC = RowCodec.of(LeaseRow.class);

  boolean isHeldBy(LeaseHolder other) {
    return holder.equals(other.name()) && incarnation == other.incarnation();
  }

  boolean released() {
    return holder.isEmpty();
  }
}
