package org.guavagw.gateway.internal.control;

import java.util.List;
import org.guavagw.gateway.spi.StoredRow;

/** Receives the rows of a replicated table. Called on the control thread only. */
interface TableListener {
  /** Called with the whole table as of one moment. */
  void onSnapshot(List<StoredRow> rows, long nowNanos);

  /**
   * Called with the whole table after the store was restored from a copy: what was written last may
   * be missing.
   */
  default void onRestored(List<StoredRow> rows, long nowNanos) {
    onSnapshot(rows, nowNanos);
  }

  /** Called with the rows that changed, in the order of their versions. */
  void onChanges(List<StoredRow> rows, long nowNanos);

  /** Called with the store's monotonic clock and the local monotonic time of its arrival. */
  default void onStoreClock(long storeMillis, long nowNanos) {}

  /** Called when all changes that the store acknowledged before a moment have been delivered. */
  default void onChecked(ClockReading at) {}
}
