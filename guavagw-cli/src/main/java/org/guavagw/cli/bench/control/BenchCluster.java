package org.guavagw.cli.bench.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.guavagw.config.GatewayConfig;
import org.guavagw.internal.config.ConfigChange;
import org.guavagw.internal.config.ConfigCodec;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.config.TableConfigHistory;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.platform.Vm;
import org.guavagw.standins.table.InMemoryTableService;

/** Entries of several data centres with one table service. Used by one thread. */
final class BenchCluster implements AutoCloseable {
  private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(60);
  private static final long CHECK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final long LEAVE_TIME_NS = TimeUnit.MILLISECONDS.toNanos(200);

  private final Closer closer = new Closer();
  private final InMemoryTableService tables = new InMemoryTableService();
  private final TableConfigHistory history = new TableConfigHistory(tables, InstantSource.system());
  private final SampledServers servers = new SampledServers();
  private final List<BenchEntry> entries = new ArrayList<>();
  private volatile List<Vm> vms = List.of();
  private GatewayConfig config;
  private int changes;

  BenchCluster(BenchScale scale) {
    config = BenchConfigs.of(scale);
    accept();
    for (int i = 0; i < scale.entries(); i++) {
      entries.add(create(scale.entryId(i), scale.dataCentre(i)));
    }
    vms = entries.stream().map(BenchEntry::vm).toList();
    entries.forEach(e -> e.plane().start());
  }

  private BenchEntry create(String id, String dataCentre) {
    return closer.register(
        new BenchEntry(id, dataCentre, tables, () -> Either.right(vms), servers));
  }

  /** Has an entry leave and starts another in its place. */
  void replace(int index) {
    BenchEntry old = entries.get(index);
    Vm vm = old.vm();
    old.plane().membership().leave();
    BenchEntry next = create(vm.id() + "r", vm.dataCentre());
    entries.set(index, next);
    vms = entries.stream().map(BenchEntry::vm).toList();
    next.plane().start();
    LockSupport.parkNanos(LEAVE_TIME_NS);
    old.close();
  }

  /** Stops all entries of a data centre at once and gives the time until no one trusts them. */
  double loseMs(String dataCentre) {
    List<BenchEntry> lost =
        entries.stream().filter(e -> e.vm().dataCentre().equals(dataCentre)).toList();
    long startNs = System.nanoTime();
    lost.forEach(BenchEntry::close);
    entries.removeAll(lost);
    await(() -> entries.stream().allMatch(e -> e.plane().membership().alive(dataCentre).isEmpty()));
    return (System.nanoTime() - startNs) / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Cuts every entry off from the table service or connects them again. */
  void setTablesDown(boolean down) {
    entries.forEach(e -> e.tables().setDown(down));
  }

  /** Accepts changes that no entry is waited for. */
  long acceptChanges(int count) {
    long revision = 0;
    for (int i = 0; i < count; i++) {
      config = BenchConfigs.changed(config, changes);
      revision = accept();
    }
    return revision;
  }

  /** Size of the whole configuration as a peer sends it. */
  int snapshotBytes() {
    return new ConfigCodec().encode(config).length;
  }

  List<BenchEntry> entries() {
    return entries;
  }

  /** Waits until every entry knows every other and the first configuration. */
  void settle() {
    await(() -> entries.stream().allMatch(this::isSettled));
  }

  private boolean isSettled(BenchEntry entry) {
    long alive = entry.plane().membership().members().stream().filter(m -> m.isAlive()).count();
    return alive == entries.size() && entry.plane().configs().current().revision() > 0;
  }

  /** Accepts a change and gives the time until every entry holds it. */
  double changeMs() {
    config = BenchConfigs.changed(config, changes);
    long revision = accept();
    return awaitRevisionMs(revision);
  }

  /** The same, where only one entry reaches the table service. */
  double changeWithoutPlatformMs(BenchEntry reader) {
    entries.forEach(e -> e.tables().setDown(e != reader));
    config = BenchConfigs.changed(config, changes);
    long revision = accept();
    reader.plane().configDistributor().readNow();
    double ms = awaitRevisionMs(revision);
    entries.forEach(e -> e.tables().setDown(false));
    return ms;
  }

  private long accept() {
    ConfigChange change = new ConfigChange("change-" + changes, "bench", "", changes, config);
    changes++;
    return history.apply(change).map(RevisionedConfig::revision).get();
  }

  double awaitRevisionMs(long revision) {
    long startNs = System.nanoTime();
    await(() -> entries.stream().allMatch(e -> holds(e, revision)));
    return (System.nanoTime() - startNs) / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  private static boolean holds(BenchEntry entry, long revision) {
    return entry.plane().configs().current().revision() >= revision;
  }

  private static void await(BooleanSupplier condition) {
    long deadlineNs = System.nanoTime() + SETTLE_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNs > 0) {
        throw new IllegalStateException("the entries did not settle in " + SETTLE_TIMEOUT);
      }
      LockSupport.parkNanos(CHECK_INTERVAL_NS);
    }
  }

  @Override
  public void close() {
    closer.close();
  }
}
