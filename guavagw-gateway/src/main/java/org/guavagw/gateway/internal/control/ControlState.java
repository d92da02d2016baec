package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.routing.RouteTable;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlRow;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.time.Clocks;

/**
 * Builds the {@link ControlView} from rows of the store. Confined to the control thread; publishes
 * immutable views.
 *
 * <p>Invariants: within one process the configuration never goes back to an older version; if the
 * stored configuration is missing or unreadable, the one in force stays. What a store lost when it
 * was restored from a copy stays known until it is written again or its time is over.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class ControlState {
  /** Time within which operators have written again what a restored store lost. */
  private static final Duration REWRITE_GRACE = Duration.ofSeconds(10);

  private final ControlFormat format;
  private final ScheduledExecutorService control;
  private final CurrentControlView currentView;
  private final EventLog log;
  private final Clocks clocks;
  private final RegisteredBackends backends;
  private final ObservedOrders orders = new ObservedOrders();
  private final ReportedStatuses statuses = new ReportedStatuses();
  private Optional<GatewayConfig> config = Optional.empty();
  private Optional<StoredRow> configRow = Optional.empty();
  private long storedConfigVersion = Long.MIN_VALUE;
  private RouteTable routes = new RouteTable(List.of());
  private final LapseExpectation lapses;
  private final StartConfirmation start;
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
    this.backends = new RegisteredBackends(log);
    this.lapses = new LapseExpectation(clocks.monotonic());
    this.start = new StartConfirmation(this::recordCheck, control, clocks.monotonic(), log);
  }

  /** Returns what holds checks back until this entry knows that its configuration is current. */
  StartConfirmation start() {
    return start;
  }

  private void recordCheck(ClockReading at) {
    // An older configuration in a restored store does not prove that keys are current.
    if (storedConfigVersion >= configVersion()) {
      currentView.recordOrdersCheck(at);
    }
  }

  TableListener ordersListener() {
    return new TableListener() {
      @Override
      public void onSnapshot(List<StoredRow> rows, long nowNanos) {
        orders.replace(() -> rows.forEach(row -> applyOrder(row, nowNanos)));
        publish();
      }

      @Override
      public void onRestored(List<StoredRow> rows, long nowNanos) {
        storedConfigVersion = Long.MIN_VALUE;
        int retained = orders.restore(() -> rows.forEach(row -> applyOrder(row, nowNanos)));
        logRestored(format.ordersTable(), rows, retained);
        control.schedule(
            ControlState.this::dropRetained, REWRITE_GRACE.toMillis(), TimeUnit.MILLISECONDS);
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
        start.onChecked(at);
      }
    };
  }

  TableListener backendsListener() {
    return new TableListener() {
      @Override
      public void onSnapshot(List<StoredRow> rows, long nowNanos) {
        removeMissing(rows, nowNanos);
        backendsKnown = true;
        onChanges(rows, nowNanos);
      }

      @Override
      public void onRestored(List<StoredRow> rows, long nowNanos) {
        int missing = removeMissing(rows, nowNanos);
        rows.forEach(row -> applyBackend(row, nowNanos, true));
        logRestored(format.backendsTable(), rows, missing);
        publish();
      }

      @Override
      public void onChanges(List<StoredRow> rows, long nowNanos) {
        rows.forEach(row -> applyBackend(row, nowNanos, false));
        publish();
      }
    };
  }

  TableListener statusListener() {
    return new TableListener() {
      @Override
      public void onSnapshot(List<StoredRow> rows, long nowNanos) {
        statuses.replace(() -> rows.forEach(row -> applyStatus(row, nowNanos)));
        publish();
      }

      @Override
      public void onRestored(List<StoredRow> rows, long nowNanos) {
        int lost = statuses.restore(() -> rows.forEach(row -> applyStatus(row, nowNanos)));
        logRestored(format.statusTable(), rows, lost);
        publish();
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
    lapses.onStoreLost();
  }

  /**
   * Records that calls to the store succeed again.
   *
   * @param stillFailing whether calls for other tables still fail
   */
  void storeRecovered(boolean stillFailing) {
    lapses.onStoreRecovered(stillFailing);
    scheduleLapsedRemoval();
  }

  /** Records that the store was restored from a copy, which lacks what was written last. */
  void storeRestored() {
    lapses.onStoreRestored();
    scheduleLapsedRemoval();
  }

  /** Records what a hub says of lapses, see {@link LapseExpectation#onHubAnswer}. */
  void hubExpectsLapses(boolean expected, boolean afterGap) {
    if (lapses.onHubAnswer(expected, afterGap)) {
      scheduleLapsedRemoval();
    }
  }

  private void scheduleLapsedRemoval() {
    control.schedule(this::removeLapsed, LapseExpectation.GRACE.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns whether the registrations of backend servers were read. */
  boolean backendsKnown() {
    return backendsKnown;
  }

  /**
   * Returns whether a registration that disappears now may have lapsed although its backend server
   * lives.
   */
  boolean lapsesExpected() {
    return lapses.isActive();
  }

  private void logRestored(String table, List<StoredRow> rows, int retained) {
    log.event("table_restored")
        .with("table", table)
        .with("rows", rows.size())
        .with("kept_though_missing", retained)
        .with("config_in_force", configVersion())
        .with("config_in_store", storedConfigVersion)
        .write();
  }

  /** Drops the orders that the operators did not write again after the store was restored. */
  private void dropRetained() {
    Set<String> dropped = orders.dropRetained();
    for (String key : dropped) {
      log.event("order_removed").with("row", key).with("reason", "not written again").write();
    }
    if (!dropped.isEmpty()) {
      publish();
    }
  }

  /** Returns the row of the configuration in force if it is newer than a version. */
  List<StoredRow> configNewerThan(long version) {
    return configVersion() > version ? configRow.stream().toList() : List.of();
  }

  /** Returns the row of the configuration in force if the store has an older one. */
  List<StoredRow> configMissingInStore() {
    return configNewerThan(storedConfigVersion);
  }

  /** Returns the version of the configuration in force. */
  long configVersion() {
    return config.map(GatewayConfig::version).orElse(Long.MIN_VALUE);
  }

  /** Puts the configuration of another entry in force if it is newer than the one of this entry. */
  void onPeerConfig(StoredRow row, long nowNanos) {
    ControlRow decoded = decode(format.ordersTable(), row, nowNanos);
    if (decoded instanceof ControlRow.Configuration c) {
      applyConfig(c.config(), row);
      publish();
    } else {
      logUnreadable(format.ordersTable(), row, decoded);
    }
  }

  private void applyOrder(StoredRow row, long nowNanos) {
    if (row.removed()) {
      orders.onRemoved(row.key());
      log.event("order_removed").with("row", row.key()).with("version", row.version()).write();
      return;
    }
    ControlRow decoded = decode(format.ordersTable(), row, nowNanos);
    if (decoded instanceof ControlRow.Configuration c) {
      storedConfigVersion = c.config().version();
      applyConfig(c.config(), row);
    } else if (decoded instanceof ControlRow.Rollout r) {
      applyRollout(row.key(), r.order(), nowNanos);
    } else if (decoded instanceof ControlRow.Evacuation e) {
      orders.onEvacuation(row.key(), e.dataCentre());
      log.event("evacuation").with("data_centre", e.dataCentre()).write();
    } else {
      logUnreadable(format.ordersTable(), row, decoded);
    }
  }

  private void applyConfig(GatewayConfig next, StoredRow row) {
    if (next.version() <= configVersion()) {
      return;
    }
    configRow = Optional.of(row);
    config = Optional.of(next);
    routes = new RouteTable(next.routes());
    log.event("config_in_force")
        .with("version", next.version())
        .with("routes", next.routes().size())
        .with("keys", next.teamsByKey().size())
        .write();
  }

  private void applyRollout(String key, RolloutOrder order, long nowNanos) {
    orders.onRollout(key, order, nowNanos);
    log.event("rollout_ordered")
        .with("service", order.service())
        .with("to", order.toVersion())
        .with("within_ms", order.within().toMillis())
        .write();
  }

  private void applyBackend(StoredRow row, long nowNanos, boolean fromCopy) {
    if (row.removed()) {
      backends.onGone(row.key(), lapsesExpected(), nowNanos);
      return;
    }
    ControlRow decoded = decode(format.backendsTable(), row, nowNanos);
    if (decoded instanceof ControlRow.Backend b) {
      backends.register(row.key(), b.server(), fromCopy, nowNanos);
    } else {
      backends.ignore(row.key());
      logUnreadable(format.backendsTable(), row, decoded);
    }
  }

  /** Handles backend servers that a whole table lacks as gone and returns their number. */
  private int removeMissing(List<StoredRow> rows, long nowNanos) {
    Set<String> present = rows.stream().map(StoredRow::key).collect(Collectors.toSet());
    Set<String> missing = backends.idsWithout(present);
    missing.forEach(id -> backends.onGone(id, lapsesExpected(), nowNanos));
    return missing.size();
  }

  /** Removes backend servers that did not register again in time. */
  private void removeLapsed() {
    if (!lapsesExpected() && backends.removeLapsed(clocks.monotonic().read())) {
      publish();
    }
  }

  private void applyStatus(StoredRow row, long nowNanos) {
    if (row.removed()) {
      statuses.byService().keySet().removeIf(s -> format.rolloutStatusKey(s).equals(row.key()));
      return;
    }
    ControlRow decoded = decode(format.statusTable(), row, nowNanos);
    if (decoded instanceof ControlRow.Status s) {
      statuses.put(s.status());
      log.event("rollout_state")
          .with("service", s.status().service())
          .with("to", s.status().toVersion())
          .with("state", s.status().state().name())
          .write();
    } else {
      logUnreadable(format.statusTable(), row, decoded);
    }
  }

  /** Decodes a row; one that the format cannot handle is unreadable and leaves the others. */
  private ControlRow decode(String table, StoredRow row, long nowNanos) {
    try {
      return format.decode(table, row, nowNanos);
    } catch (RuntimeException | StackOverflowError e) {
      return new ControlRow.Unreadable("the row cannot be decoded: " + e);
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
    Orders published = new Orders(orders.rollouts(), statuses.byService(), orders.evacuated());
    currentView.publish(
        new ControlView(config, routes, backends.byService(), published, backendsKnown));
  }
}
