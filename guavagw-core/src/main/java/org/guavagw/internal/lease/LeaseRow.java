package org.guavagw.internal.lease;

import org.guavagw.internal.rows.RowCodec;

/**
 * The row of a lease in the table service. Immutable.
 *
 * @param holder name of the process that holds the lease, empty after a release
 * @param incarnation distinguishes incarnations of processes with the same name
 * @param fencingNumber increases with every holder and never decreases, not even on release
 * @param durationMs duration of the lease from the write of the row
 * @param writeId unique among the writes of one incarnation, to recognise a write whose answer was
 *     lost
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
