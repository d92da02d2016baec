package org.guavagw.internal.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.guavagw.internal.config.ConfigFeed;
import org.guavagw.internal.config.ConfigHolder;
import org.guavagw.internal.config.ConfigMessage;
import org.guavagw.internal.config.ConfigSpread;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.load.CacheEventListener;
import org.guavagw.internal.load.LoadSource;
import org.guavagw.internal.load.LoadSpread;
import org.guavagw.internal.membership.GossipMembership;
import org.guavagw.internal.membership.MembershipMessage;
import org.guavagw.internal.peer.NettyPeerNetwork;
import org.guavagw.internal.peer.PeerAddresses;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessageRegistry;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;

/**
 * The control part of one entry: peers, members, configuration and load reports, all on one control
 * thread beside one event loop and one thread for calls that block. Thread-safe.
 */
public final class ControlPlane implements AutoCloseable {
  private final Closer closer = new Closer();
  private final ScheduledExecutorService control;
  private final NettyPeerNetwork network;
  private final GossipMembership membership;
  private final ConfigHolder configs = new ConfigHolder();
  private final ConfigSpread configSpread;
  private final LoadSpread loads;
  private final ControlSettings settings;

  /** Listens, but takes no part before {@link #start}. */
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
    this.configSpread =
        closer.register(
            new ConfigSpread(
                configs, feed, network, membership, control, blocking, ticker, random));
    this.loads =
        closer.register(
            new LoadSpread(configs, membership, loadSource, cacheEvents, control, ticker, random));
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

  /** Starts to take part. */
  public void start() {
    membership.start(List.copyOf(settings.seeds()));
    configSpread.start();
    loads.start();
  }

  /** The thread that owns control state. */
  public ScheduledExecutorService controlThread() {
    return control;
  }

  /** Messages between entries. */
  public NettyPeerNetwork network() {
    return network;
  }

  /** The entries. */
  public GossipMembership membership() {
    return membership;
  }

  /** The newest configuration that this entry knows. */
  public ConfigHolder configs() {
    return configs;
  }

  /** How the configuration spreads. */
  public ConfigSpread configSpread() {
    return configSpread;
  }

  /** Load reports of this data centre's backend servers. */
  public LoadSpread loads() {
    return loads;
  }

  @Override
  public void close() {
    closer.close();
  }
}
