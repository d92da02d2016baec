package org.guavagw.internal.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.GatewayConfig;
import org.guavagw.internal.config.ConfigChange;
import org.guavagw.internal.config.ConfigDistributor;
import org.guavagw.internal.config.ConfigHolder;
import org.guavagw.internal.config.FaultInjectingTableService;
import org.guavagw.internal.config.TableConfigHistory;
import org.guavagw.internal.load.CacheEvent;
import org.guavagw.internal.load.LoadFailure;
import org.guavagw.internal.load.LoadReportDistributor;
import org.guavagw.internal.load.LoadSource;
import org.guavagw.internal.load.ServerLoad;
import org.guavagw.internal.membership.GossipMembership;
import org.guavagw.internal.membership.GossipSettings;
import org.guavagw.internal.peer.PeerAddresses;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;
import org.guavagw.standins.table.InMemoryTableService;

/**
 * Control planes of several entries on a simulated network and a clock that only the test advances.
 * Confined to the test thread.
 */
final class TestCluster {
  private static final long STEP_MS = 20;

  private final EmbeddedChannel loop = new EmbeddedChannel();
  private final ScheduledExecutorService control = loop.eventLoop();
  private final RandomGenerator random = new SplittableRandom(11);
  private final SimulatedPeerNetwork peers = new SimulatedPeerNetwork(control);
  private final InMemoryTableService store = new InMemoryTableService();
  private final TableConfigHistory history = new TableConfigHistory(store, InstantSource.system());
  private final Map<String, TestEntry> entries = new HashMap<>();
  private final Map<String, ServerLoad> servers = new HashMap<>();
  private final Map<String, List<String>> polls = new HashMap<>();
  private final List<Vm> vms = new ArrayList<>();
  private boolean vmListDown;
  private long nowNs;
  private long incarnations;

  TestCluster() {
    loop.freezeTime();
  }

  SimulatedPeerNetwork peers() {
    return peers;
  }

  List<Vm> vms() {
    return vms;
  }

  void setVmListDown(boolean down) {
    vmListDown = down;
  }

  /** Sets whether reads of the table service fail at all entries. */
  void setTablesDown(boolean down) {
    entries.values().forEach(e -> e.tables().setReadsDown(down));
  }

  TestEntry entry(String id) {
    return entries.get(id);
  }

  List<TestEntry> entries() {
    return List.copyOf(entries.values());
  }

  /** Starts listed entries, each with an id made of its data centre and a number. */
  void startDataCentre(String dataCentre, int count) {
    for (int i = 0; i < count; i++) {
      vms.add(vm(dataCentre, i));
    }
    for (int i = 0; i < count; i++) {
      start(vm(dataCentre, i), List.of());
    }
  }

  static Vm vm(String dataCentre, int index) {
    return new Vm(dataCentre + "-" + index, dataCentre, "10.0.0." + index, 7000, false);
  }

  TestEntry start(Vm vm, List<Vm> seeds) {
    incarnations++;
    PeerNetwork network = peers.join(new PeerIdentity(vm.id(), incarnations));
    Ticker ticker =
        new Ticker() {
          @Override
          public long read() {
            return nowNs;
          }
        };
    VmList vmList =
        () ->
            vmListDown
                ? Either.left(PlatformFailure.notApplied("down"))
                : Either.right(List.copyOf(vms));
    GossipMembership membership =
        new GossipMembership(
            vm,
            network,
            new PeerAddresses(),
            vmList,
            GossipSettings.DEFAULT,
            control,
            control,
            ticker,
            random,
            new MetricRegistry());
    ConfigHolder configs = new ConfigHolder();
    FaultInjectingTableService tables = new FaultInjectingTableService(store);
    TableConfigHistory feed = new TableConfigHistory(tables, InstantSource.system());
    ConfigDistributor configDistributor =
        new ConfigDistributor(configs, feed, network, membership, control, control, ticker, random);
    LoadReportDistributor loads =
        new LoadReportDistributor(
            configs, membership, new PolledServers(vm.id()), (s, e) -> {}, control, ticker, random);
    TestEntry entry = new TestEntry(vm.id(), membership, configs, configDistributor, loads, tables);
    entries.put(vm.id(), entry);
    membership.start(seeds);
    configDistributor.start();
    loads.start();
    return entry;
  }

  long accept(GatewayConfig config) {
    long before = history.latest().get().revision();
    ConfigChange change = new ConfigChange("c" + before, "operator", "", before, config);
    return history.apply(change).get().revision();
  }

  void setServer(String id, ServerLoad load) {
    servers.put(id, load);
  }

  /** Returns the ids of the entries that polled a backend server, one for each poll. */
  List<String> pollsOf(String server) {
    return polls.computeIfAbsent(server, s -> new ArrayList<>());
  }

  void run(Duration time) {
    for (long ms = 0; ms < time.toMillis(); ms += STEP_MS) {
      nowNs += TimeUnit.MILLISECONDS.toNanos(STEP_MS);
      loop.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
      loop.runPendingTasks();
    }
  }

  /** The backend servers as polled by one entry. Confined to the test thread. */
  private final class PolledServers implements LoadSource {
    private final String poller;

    PolledServers(String poller) {
      this.poller = poller;
    }

    @Override
    public CompletionStage<Either<LoadFailure, ServerLoad>> load(BackendServerConfig server) {
      pollsOf(server.id()).add(poller);
      ServerLoad load = servers.get(server.id());
      return CompletableFuture.completedFuture(
          load == null ? Either.left(LoadFailure.UNREACHABLE) : Either.right(load));
    }

    @Override
    public CompletionStage<Either<LoadFailure, List<CacheEvent>>> cacheEvents(
        BackendServerConfig server, long after) {
      return CompletableFuture.completedFuture(Either.right(List.of()));
    }
  }
}
