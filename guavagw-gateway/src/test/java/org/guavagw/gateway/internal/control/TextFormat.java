package org.guavagw.gateway.internal.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutState;
import org.guavagw.gateway.model.RolloutStatus;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlRow;
import org.guavagw.gateway.spi.StoredRow;

/**
 * Rows of text: {@code config VERSION}, {@code evacuate DATA-CENTRE}, {@code rollout VERSION},
 * {@code ready}, {@code draining} and {@code status VERSION STATE STARTED}. Stateless.
 */
final class TextFormat implements ControlFormat {
  static final String SERVICE = "engine";
  static final Duration WITHIN = Duration.ofSeconds(20);

  static StoredRow row(String key, String value, long version) {
    return new StoredRow(key, value.getBytes(UTF_8), version, false);
  }

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
    List<String> words = Splitter.on(' ').splitToList(new String(row.value(), UTF_8));
    return switch (words.get(0)) {
      case "config" -> new ControlRow.Configuration(config(Long.parseLong(words.get(1))));
      case "evacuate" -> new ControlRow.Evacuation(words.get(1));
      case "rollout" ->
          new ControlRow.Rollout(new RolloutOrder(SERVICE, words.get(1), WITHIN, row.version()));
      case "status" ->
          new ControlRow.Status(
              new RolloutStatus(
                  SERVICE,
                  words.get(1),
                  RolloutState.valueOf(words.get(2)),
                  Long.parseLong(words.get(3)),
                  row.version(),
                  true));
      case "ready" -> new ControlRow.Backend(server(row.key()));
      case "draining" -> new ControlRow.Backend(server(row.key()).asDraining());
      default -> new ControlRow.Unreadable("unknown kind of row");
    };
  }

  private static GatewayConfig config(long version) {
    return new GatewayConfig(version, List.of(), Map.of(), Map.of(), false, CallerLimits.DEFAULT);
  }

  private static BackendServer server(String id) {
    return Samples.server(id, "dc1", "v1");
  }

  @Override
  public String rolloutOrderKey(String service) {
    return "rollout/" + service;
  }

  @Override
  public String rolloutStatusKey(String service) {
    return "rollout/" + service;
  }

  @Override
  public byte[] rolloutStatus(
      String service, String toVersion, RolloutState state, long startedMillis) {
    return ("status " + toVersion + " " + state + " " + startedMillis).getBytes(UTF_8);
  }

  /** Returns the backend server that an id names, if it may serve. */
  static Optional<BackendServer> serving(ControlView view, String id) {
    return view.backends(SERVICE).stream()
        .filter(s -> s.id().equals(id) && !s.draining())
        .findFirst();
  }
}
