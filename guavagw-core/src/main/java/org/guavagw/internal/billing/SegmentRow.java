package org.guavagw.internal.billing;

import java.util.List;
import org.guavagw.internal.rows.RowCodec;

/**
 * Intents and bills that one transaction made durable. A bill in the segment of its own request's
 * intent stands without that intent. Immutable.
 */
record SegmentRow(List<BillOpening> intents, List<Bill> bills) {
  static final RowCodec<SegmentRow> CODEC = RowCodec.of(SegmentRow.class);

  SegmentRow {
    intents = List.copyOf(intents);
    bills = List.copyOf(bills);
  }
}
