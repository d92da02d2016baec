package org.guavagw.gateway.internal.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.gateway.internal.control.TextFormat.row;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoredRow;

/**
 * Random writes, drains, restores and late answers, as one entry that polls the store sees them.
 */
class RestoredStoreHistoryTest {
  private static final int STEPS = 200;
  private static final int SERVERS = 4;
  private static final Duration WAIT = Duration.ofMillis(300);

  private final ManualClock clock = new ManualClock();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(PrintStream.nullOutputStream()));

  @Property(tries = 100)
  void shouldNeverGoBack(@ForAll long seed) {
    new History(seed).play();
  }

  /** A store, its copies and an entry. */
  private final class History {
    private final Random random;
    private final EmbeddedChannel control = new EmbeddedChannel();
    private final CurrentControlView currentView = new CurrentControlView(clock.clocks());
    private final ControlState state =
        new ControlState(new TextFormat(), currentView, control.eventLoop(), clock.clocks(), log);
    private final TableReplica orders = new TableReplica("orders", state.ordersListener());
    private final TableReplica backends = new TableReplica("backends", state.backendsListener());
    private final StoreEra seenEra = new StoreEra(previous -> state.storeRestored());
    private final Map<String, Map<String, StoredRow>> tables = new HashMap<>();
    private final Set<String> drained = new HashSet<>();
    private final Set<String> drainedSeen = new HashSet<>();
    private Map<String, Map<String, StoredRow>> copy = Map.of();
    private long copyVersion;
    private long era;
    private long version;
    private long config;
    private long configSeen;

    History(long seed) {
      random = new Random(seed);
      tables.put("orders", new TreeMap<>());
      tables.put("backends", new TreeMap<>());
      control.freezeTime();
    }

    void play() {
      writeConfig();
      for (int i = 0; i < SERVERS; i++) {
        put("backends", "w" + i, "ready");
      }
      takeCopy();
      for (int step = 0; step < STEPS; step++) {
        act(random.nextInt(8));
        clock.advance(WAIT);
        control.advanceTimeBy(WAIT.toMillis(), TimeUnit.MILLISECONDS);
        control.runScheduledPendingTasks();
        check();
      }
    }

    private void act(int action) {
      switch (action) {
        case 0 -> writeConfig();
        case 1 -> drain("w" + random.nextInt(SERVERS));
        case 2 -> takeCopy();
        case 3 -> restore();
        case 4 -> deliverLateAnswer();
        default -> poll();
      }
    }

    private void writeConfig() {
      config++;
      put("orders", "config", "config " + config);
    }

    private void drain(String server) {
      drained.add(server);
      put("backends", server, "draining");
    }

    private void put(String table, String key, String value) {
      version++;
      tables.get(table).put(key, row(key, value, version));
    }

    private void takeCopy() {
      copy = new HashMap<>();
      tables.forEach((name, rows) -> copy.put(name, new TreeMap<>(rows)));
      copyVersion = version;
    }

    private void restore() {
      era++;
      version = copyVersion;
      copy.forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
    }

    private void poll() {
      seenEra.observe(era);
      poll(orders);
      poll(backends);
      configSeen = Math.max(configSeen, config(tables.get("orders").get("config")));
      tables.get("backends").values().stream()
          .filter(r -> drained.contains(r.key()) && r.value().length == "draining".length())
          .forEach(r -> drainedSeen.add(r.key()));
    }

    private void poll(TableReplica replica) {
      List<StoredRow> rows = List.copyOf(tables.get(replica.table()).values());
      ClockReading now = ClockReading.now(clock.clocks());
      if (!replica.isLoaded() || replica.era() != era) {
        replica.applySnapshot(new RowBatch(rows, era, version, version), now, clock.read());
        return;
      }
      List<StoredRow> changed = rows.stream().filter(r -> r.version() > replica.version()).toList();
      replica.applyChanges(new RowBatch(changed, era, version, version), now, clock.read());
    }

    private void deliverLateAnswer() {
      if (era == 0 || !orders.isLoaded()) {
        return;
      }
      RowBatch late =
          new RowBatch(List.of(row("config", "config 0", version + 9)), era - 1, version + 9, 0);
      orders.applyChanges(late, ClockReading.now(clock.clocks()), clock.read());
    }

    private static long config(StoredRow row) {
      return Long.parseLong(new String(row.value(), UTF_8).substring("config ".length()));
    }

    private void check() {
      ControlView view = currentView.get();
      assertThat(view.configVersion()).isGreaterThanOrEqualTo(configSeen);
      assertThat(view.backends(TextFormat.SERVICE).stream().filter(s -> !s.draining()))
          .noneMatch(s -> drainedSeen.contains(s.id()));
    }
  }
}
