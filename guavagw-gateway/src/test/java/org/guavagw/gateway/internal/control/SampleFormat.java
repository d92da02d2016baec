package org.guavagw.gateway.internal.control;

import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.RolloutState;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlRow;
import org.guavagw.gateway.spi.StoredRow;

/** Decodes each row as a backend server whose id is the key of the row. Stateless. */
final class SampleFormat implements ControlFormat {
  /** Key of a row that cannot be decoded. */
  static final String THROWING_KEY = "throwing";

  @Override
  public String ordersTable() {
    return "orders";
  }

  @Override
  public String backendsTable() {
    return "backends";
  }

  @Override
  public String statusTable() {
    return "status";
  }

  @Override
  public String membersTable() {
    return "members";
  }

  @Override
  public ControlRow decode(String table, StoredRow row, long nowNanos) {
    if (row.key().equals(THROWING_KEY)) {
      throw new IllegalArgumentException("scripted");
    }
    return new ControlRow.Backend(Samples.server(row.key(), "dc1", "v1"));
  }

  @Override
  public String rolloutOrderKey(String service) {
    return service;
  }

  @Override
  public String rolloutStatusKey(String service) {
    return service;
  }

  @Override
  public byte[] rolloutStatus(
      String service, String toVersion, RolloutState rolloutState, long startedMillis) {
    return new byte[0];
  }
}
