package org.guavagw.internal.billing;

import java.util.List;
import org.guavagw.internal.rows.RowCodec;

/**
 * Intents and bills written in one transaction. If a request's bill is known when its intent would
 * be written, the segment contains only the bill. Immutable.
 */
record SegmentRow(List<BillIntentRecord> intents, List<Bill> bills) {
  static final RowCodec<SegmentRow> CODEC = RowCodec.of(SegmentRow.class);

  SegmentRow {
    intents = List.copyOf(intents);
    bills = List.copyOf(bills);
  }
}
