package org.guavagw.gateway.internal.control;

import java.util.List;
import org.guavagw.gateway.spi.StoredRow;

/** Keeps what a table holds. Called on the control thread only. */
interface TableListener {
  /** Takes the whole content of the table, read at one moment. */
  void replace(List<StoredRow> rows, long nowNanos);

  /** Takes rows that changed, in order. */
  void apply(List<StoredRow> rows, long nowNanos);

  /** Notes the store's steady clock as of a monotonic time. */
  default void storeClock(long storeMillis, long nowNanos) {}

  /** Notes that everything acknowledged before a moment has been taken. */
  default void checked(ClockReading moment) {}
}
