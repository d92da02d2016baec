package org.guavagw.gateway.internal.control;

import java.util.List;
import org.guavagw.gateway.spi.StoredRow;

/** Passes the rows of one table on to several listeners. Immutable. */
final class TableListeners implements TableListener {
  private final List<TableListener> listeners;

  TableListeners(TableListener... listeners) {
    this.listeners = List.of(listeners);
  }

  @Override
  public void onSnapshot(List<StoredRow> rows, long nowNanos) {
    listeners.forEach(l -> l.onSnapshot(rows, nowNanos));
  }

  @Override
  public void onRestored(List<StoredRow> rows, long nowNanos) {
    listeners.forEach(l -> l.onRestored(rows, nowNanos));
  }

  @Override
  public void onChanges(List<StoredRow> rows, long nowNanos) {
    listeners.forEach(l -> l.onChanges(rows, nowNanos));
  }

  @Override
  public void onStoreClock(long storeMillis, long nowNanos) {
    listeners.forEach(l -> l.onStoreClock(storeMillis, nowNanos));
  }

  @Override
  public void onChecked(ClockReading at) {
    listeners.forEach(l -> l.onChecked(at));
  }
}
