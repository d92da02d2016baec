package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.routing.RouteTable;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutStatus;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlRow;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.time.Clocks;

/**
 * Builds the {@link ControlView} from rows of the store. Confined to the control thread; publishes
 * immutable views.
 *
 * <p>Invariants: within one process the configuration never goes back to an older version; if the
 * stored configuration is missing or unreadable, the one in force stays.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class ControlState {
  /**
   * Backend servers whose registration lapsed during a store outage register again within two
   * seconds of its end; those still missing after this time are gone.
   */
  private static final Duration LAPSE_GRACE = Duration.ofMillis(2200);

  private final ControlFormat format;
  private final ScheduledExecutorService control;
  private final CurrentControlView currentView;
  private final EventLog log;
  private final Clocks clocks;
  private final Map<String, BackendServer> backends = new HashMap<>();
  private final Map<String, Orders.ObservedRollout> rollouts = new HashMap<>();
  private final Map<String, String> serviceByRolloutKey = new HashMap<>();
  private final Map<String, RolloutStatus> statuses = new HashMap<>();
  private final Map<String, String> evacuatedByKey = new HashMap<>();
  private Optional<GatewayConfig> config = Optional.empty();
  private RouteTable routes = new RouteTable(List.of());
  private final Set<String> lapsed = new HashSet<>();
  private boolean storeFailing;
  private boolean lapseGraceStarted;
  private long lapseGraceEndNanos;
  private boolean backendsKnown;

  /** Creates an empty state. */
  public ControlState(
      ControlFormat format,
      CurrentControlView currentView,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log) {
    this.format = format;
    this.control = control;
    this.currentView = currentView;
    this.log = log;
    this.clocks = clocks;
  }

  TableListener ordersListener() {
    return new TableListener() {
      @Override
      public void onSnapshot(List<StoredRow> rows, long nowNanos) {
        Map<String, Orders.ObservedRollout> earlier = new HashMap<>(rollouts);
        rollouts.clear();
        serviceByRolloutKey.clear();
        evacuatedByKey.clear();
        rows.forEach(row -> applyOrder(row, nowNanos));
        earlier.forEach(ControlState.this::restoreFirstSeen);
        publish();
      }

      @Override
      public void onChanges(List<StoredRow> rows, long nowNanos) {
        rows.forEach(row -> applyOrder(row, nowNanos));
        publish();
      }

      @Override
      public void onStoreClock(long storeMillis, long nowNanos) {
        currentView.updateStoreClock(storeMillis, nowNanos);
      }

      @Override
      public void onChecked(ClockReading at) {
        currentView.recordOrdersCheck(at);
      }
    };
  }

  TableListener backendsListener() {
    return new TableListener() {
      @Override
      public void onSnapshot(List<StoredRow> rows, long nowNanos) {
        Set<String> gone = new HashSet<>(backends.keySet());
        rows.forEach(row -> gone.remove(row.key()));
        gone.forEach(id -> removeBackend(id));
        backendsKnown = true;
        onChanges(rows, nowNanos);
      }

      @Override
      public void onChanges(List<StoredRow> rows, long nowNanos) {
        rows.forEach(row -> applyBackend(row, nowNanos));
        publish();
      }
    };
  }

  TableListener statusListener() {
    return new TableListener() {
      @Override
      public void onSnapshot(List<StoredRow> rows, long nowNanos) {
        statuses.clear();
        onChanges(rows, nowNanos);
      }

      @Override
      public void onChanges(List<StoredRow> rows, long nowNanos) {
        rows.forEach(row -> applyStatus(row, nowNanos));
        publish();
      }
    };
  }

  /**
   * Records that calls to the store fail, which may let registrations of live backend servers
   * lapse.
   */
  void storeLost() {
    storeFailing = true;
  }

  /**
   * Records that calls to the store succeed again.
   *
   * @param stillFailing whether calls for other tables still fail
   */
  void storeRecovered(boolean stillFailing) {
    storeFailing = stillFailing;
    lapseGraceStarted = true;
    lapseGraceEndNanos = clocks.monotonic().read() + LAPSE_GRACE.toNanos();
    control.schedule(this::removeLapsed, LAPSE_GRACE.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether a registration that disappears now may have lapsed although its backend server
   * lives.
   */
  boolean lapsesExpected() {
    return storeFailing
        || (lapseGraceStarted && lapseGraceEndNanos - clocks.monotonic().read() > 0);
  }

  private void restoreFirstSeen(String service, Orders.ObservedRollout earlier) {
    rollouts.computeIfPresent(
        service, (s, now) -> now.order().revision() == earlier.order().revision() ? earlier : now);
  }

  private void applyOrder(StoredRow row, long nowNanos) {
    if (row.removed()) {
      evacuatedByKey.remove(row.key());
      Optional.ofNullable(serviceByRolloutKey.remove(row.key())).ifPresent(rollouts::remove);
      log.event("order_removed").with("row", row.key()).with("version", row.version()).write();
      return;
    }
    ControlRow decoded = format.decode(format.ordersTable(), row, nowNanos);
    if (decoded instanceof ControlRow.Configuration c) {
      applyConfig(c.config());
    } else if (decoded instanceof ControlRow.Rollout r) {
      applyRollout(row.key(), r.order(), nowNanos);
    } else if (decoded instanceof ControlRow.Evacuation e) {
      evacuatedByKey.put(row.key(), e.dataCentre());
      log.event("evacuation").with("data_centre", e.dataCentre()).write();
    } else {
      logUnreadable(format.ordersTable(), row, decoded);
    }
  }

  private void applyConfig(GatewayConfig next) {
    long currentVersion = config.map(GatewayConfig::version).orElse(Long.MIN_VALUE);
    if (next.version() <= currentVersion) {
      return;
    }
    config = Optional.of(next);
    routes = new RouteTable(next.routes());
    log.event("config_in_force")
        .with("version", next.version())
        .with("routes", next.routes().size())
        .with("keys", next.teamsByKey().size())
        .write();
  }

  private void applyRollout(String key, RolloutOrder order, long nowNanos) {
    serviceByRolloutKey.put(key, order.service());
    rollouts.put(order.service(), new Orders.ObservedRollout(order, nowNanos));
    log.event("rollout_ordered")
        .with("service", order.service())
        .with("to", order.toVersion())
        .with("within_ms", order.within().toMillis())
        .write();
  }

  private void applyBackend(StoredRow row, long nowNanos) {
    if (row.removed()) {
      removeBackend(row.key());
      return;
    }
    lapsed.remove(row.key());
    ControlRow decoded = format.decode(format.backendsTable(), row, nowNanos);
    if (!(decoded instanceof ControlRow.Backend b)) {
      backends.remove(row.key());
      logUnreadable(format.backendsTable(), row, decoded);
      return;
    }
    BackendServer next = b.server();
    BackendServer earlier = backends.put(row.key(), next);
    if (earlier == null
        || earlier.draining() != next.draining()
        || !earlier.incarnation().equals(next.incarnation())) {
      log.event("backend_changed")
          .with("backend", next.id())
          .with("service", next.service())
          .with("version", next.version())
          .with("data_centre", next.dataCentre())
          .with("state", next.draining() ? "draining" : "ready")
          .with("cold_ms", Math.max(0, (next.coldUntilNanos() - nowNanos) / 1_000_000))
          .write();
    }
  }

  private void removeBackend(String id) {
    BackendServer server = backends.get(id);
    if (server == null) {
      return;
    }
    if (lapsesExpected() && !server.draining()) {
      lapsed.add(id);
      log.event("backend_lapsed").with("backend", id).write();
      return;
    }
    backends.remove(id);
    log.event("backend_gone").with("backend", id).write();
  }

  /** Removes backend servers that did not register again in time. */
  private void removeLapsed() {
    if (lapsesExpected()) {
      return;
    }
    for (String id : lapsed) {
      backends.remove(id);
      log.event("backend_gone").with("backend", id).with("reason", "registration lapsed").write();
    }
    if (!lapsed.isEmpty()) {
      lapsed.clear();
      publish();
    }
  }

  private void applyStatus(StoredRow row, long nowNanos) {
    if (row.removed()) {
      statuses.values().removeIf(s -> format.rolloutStatusKey(s.service()).equals(row.key()));
      return;
    }
    ControlRow decoded = format.decode(format.statusTable(), row, nowNanos);
    if (decoded instanceof ControlRow.Status s) {
      statuses.put(s.status().service(), s.status());
      log.event("rollout_state")
          .with("service", s.status().service())
          .with("to", s.status().toVersion())
          .with("state", s.status().state().name())
          .write();
    } else {
      logUnreadable(format.statusTable(), row, decoded);
    }
  }

  private void logUnreadable(String table, StoredRow row, ControlRow decoded) {
    String reason = decoded instanceof ControlRow.Unreadable u ? u.reason() : "unexpected row";
    log.event("row_ignored")
        .with("table", table)
        .with("row", row.key())
        .with("reason", reason)
        .write();
  }

  private void publish() {
    Map<String, List<BackendServer>> byService = new HashMap<>();
    for (BackendServer server : backends.values()) {
      byService.computeIfAbsent(server.service(), s -> new ArrayList<>()).add(server);
    }
    byService.replaceAll((service, list) -> List.copyOf(list));
    Orders orders = new Orders(rollouts, statuses, Set.copyOf(evacuatedByKey.values()));
    currentView.publish(new ControlView(config, routes, byService, orders, backendsKnown));
  }
}
