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

/** Entries in several data centres that share one table service. Used by one thread. */
final class BenchCluster implements AutoCloseable {
  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(60);
  private static final long CHECK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final long LEAVE_TIME_NS = TimeUnit.MILLISECONDS.toNanos(200);

  private final Closer closer = new Closer();
  private final InMemoryTableService tables = new InMemoryTableService();
  private final TableConfigHistory history = new TableConfigHistory(tables, InstantSource.system());
  private final SimulatedLoadSource servers = new SimulatedLoadSource();
  private final List<BenchEntry> entries = new ArrayList<>();
  private volatile List<Vm> vms = List.of();
  private GatewayConfig config;
  private int changes;

  BenchCluster(BenchScale scale) {
    config = BenchConfigs.of(scale);
    applyConfig();
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

  /** Stops an entry after it has left the membership, and starts a replacement. */
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

  /** Stops all entries of a data centre; returns the time until no other entry sees them alive. */
  double measureFailureDetectionMs(String dataCentre) {
    List<BenchEntry> failed =
        entries.stream().filter(e -> e.vm().dataCentre().equals(dataCentre)).toList();
    long startNs = System.nanoTime();
    failed.forEach(BenchEntry::close);
    entries.removeAll(failed);
    await(() -> entries.stream().allMatch(e -> e.plane().membership().alive(dataCentre).isEmpty()));
    return (System.nanoTime() - startNs) / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Makes the table service unavailable or available again to all entries. */
  void setTablesDown(boolean down) {
    entries.forEach(e -> e.tables().setDown(down));
  }

  /** Applies changes without waiting for the entries; returns the last revision. */
  long applyChanges(int count) {
    long revision = 0;
    for (int i = 0; i < count; i++) {
      config = BenchConfigs.withChangedBudget(config, changes);
      revision = applyConfig();
    }
    return revision;
  }

  /** Returns the size of a configuration snapshot as sent between peers. */
  int snapshotBytes() {
    return new ConfigCodec().encode(config).length;
  }

  List<BenchEntry> entries() {
    return entries;
  }

  /** Waits until every entry knows all other entries and has a configuration. */
  void awaitConvergence() {
    await(() -> entries.stream().allMatch(this::hasConverged));
  }

  private boolean hasConverged(BenchEntry entry) {
    long alive = entry.plane().membership().members().stream().filter(m -> m.isAlive()).count();
    return alive == entries.size() && entry.plane().configs().current().revision() > 0;
  }

  /** Applies a change and returns the time until all entries have it. */
  double measureChangeMs() {
    config = BenchConfigs.withChangedBudget(config, changes);
    long revision = applyConfig();
    return awaitRevisionMs(revision);
  }

  /** Like {@link #measureChangeMs()}, but only one entry can reach the table service. */
  double measureChangeWithoutPlatformMs(BenchEntry reader) {
    entries.forEach(e -> e.tables().setDown(e != reader));
    config = BenchConfigs.withChangedBudget(config, changes);
    long revision = applyConfig();
    reader.plane().configDistributor().readNow();
    double ms = awaitRevisionMs(revision);
    entries.forEach(e -> e.tables().setDown(false));
    return ms;
  }

  private long applyConfig() {
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
    long deadlineNs = System.nanoTime() + CONVERGENCE_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNs > 0) {
        throw new IllegalStateException(
            "the entries did not converge within " + CONVERGENCE_TIMEOUT);
      }
      LockSupport.parkNanos(CHECK_INTERVAL_NS);
    }
  }

  @Override
  public void close() {
    closer.close();
  }
}
