package org.guavagw.internal.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.guavagw.internal.config.ConfigDistributor;
import org.guavagw.internal.config.ConfigFeed;
import org.guavagw.internal.config.ConfigHolder;
import org.guavagw.internal.config.ConfigMessage;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.load.CacheEventListener;
import org.guavagw.internal.load.LoadReportDistributor;
import org.guavagw.internal.load.LoadSource;
import org.guavagw.internal.membership.GossipMembership;
import org.guavagw.internal.membership.MembershipMessage;
import org.guavagw.internal.peer.NettyPeerNetwork;
import org.guavagw.internal.peer.PeerAddresses;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessageRegistry;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;

/**
 * The control plane of one entry: peer network, membership, configuration and load reports. Runs on
 * one control thread, one event loop, and one thread for blocking calls. Thread-safe.
 */
public final class ControlPlane implements AutoCloseable {
  private final Closer closer = new Closer();
  private final ScheduledExecutorService control;
  private final NettyPeerNetwork network;
  private final GossipMembership membership;
  private final ConfigHolder configs = new ConfigHolder();
  private final ConfigDistributor configDistributor;
  private final LoadReportDistributor loads;
  private final ControlSettings settings;

  /** Opens the port for peers; {@link #start} joins the other entries. */
  public ControlPlane(
      ControlSettings settings,
      VmList vmList,
      ConfigFeed feed,
      LoadSource loadSource,
      CacheEventListener cacheEvents,
      PeerMessageRegistry registry,
      MetricRegistry metrics) {
    this.settings = settings;
    registry.register(MembershipMessage.TYPES);
    registry.register(ConfigMessage.TYPES);
    Ticker ticker = Ticker.systemTicker();
    String id = settings.self().id();
    RandomGenerator random = new SplittableRandom(id.hashCode() ^ settings.incarnation());
    PeerAddresses addresses = new PeerAddresses();
    this.control = executor("control-" + id);
    ScheduledExecutorService blocking = executor("platform-" + id);
    PeerIdentity identity = new PeerIdentity(id, settings.incarnation());
    this.network =
        closer.register(
            new NettyPeerNetwork(
                identity, settings.peers(), addresses, registry, control, metrics));
    Vm self = withPort(settings.self(), network.port());
    this.membership =
        closer.register(
            new GossipMembership(
                self,
                network,
                addresses,
                vmList,
                settings.gossip(),
                control,
                blocking,
                ticker,
                random,
                metrics));
    this.configDistributor =
        closer.register(
            new ConfigDistributor(
                configs, feed, network, membership, control, blocking, ticker, random));
    this.loads =
        closer.register(
            new LoadReportDistributor(
                configs, membership, loadSource, cacheEvents, control, ticker, random));
  }

  private ScheduledExecutorService executor(String name) {
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(
            new ThreadFactoryBuilder().setNameFormat(name).setDaemon(true).build());
    closer.register(executor::shutdownNow);
    return executor;
  }

  private static Vm withPort(Vm vm, int port) {
    return new Vm(vm.id(), vm.dataCentre(), vm.host(), port, vm.leaving());
  }

  /** Joins the other entries and starts to poll. */
  public void start() {
    membership.start(List.copyOf(settings.seeds()));
    configDistributor.start();
    loads.start();
  }

  /** Returns the control thread. */
  public ScheduledExecutorService controlThread() {
    return control;
  }

  /** Returns the network between entries. */
  public NettyPeerNetwork network() {
    return network;
  }

  /** Returns the membership. */
  public GossipMembership membership() {
    return membership;
  }

  /** Returns the holder of the configuration in force at this entry. */
  public ConfigHolder configs() {
    return configs;
  }

  /** Returns the distributor of the configuration. */
  public ConfigDistributor configDistributor() {
    return configDistributor;
  }

  /** Returns the load reports of this data centre's backend servers. */
  public LoadReportDistributor loads() {
    return loads;
  }

  @Override
  public void close() {
    closer.close();
  }
}
