package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.guavagw.gateway.GatewaySettings;
import org.guavagw.gateway.internal.cascade.ModelPolicy;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.control.Knowledge;
import org.guavagw.gateway.internal.limits.ColdGate;
import org.guavagw.gateway.internal.limits.RepeatAllowance;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.Hubs;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Peers;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.placement.AffinityPlacer;
import org.guavagw.gateway.internal.placement.LoadBook;
import org.guavagw.gateway.internal.placement.WorkExchange;
import org.guavagw.gateway.internal.rollout.RolloutDirector;
import org.guavagw.gateway.internal.rollout.VersionGate;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.ServiceSpec;
import org.guavagw.gateway.spi.RelayFormat;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.lifecycle.InFlight;

/**
 * Relays requests of callers to backend servers. Thread-safe; its components are confined to the
 * traffic thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class Relay implements AutoCloseable {
  /**
   * How long connections wait at startup for the first configuration before requests are refused
   * with a retry delay. Many callers give up on an entry that has not read their request within a
   * second.
   */
  private static final Duration MAX_STARTUP_WAIT = Duration.ofMillis(800);

  /** How often state of backend servers that no longer exist is removed. */
  private static final Duration CLEANUP_PERIOD = Duration.ofSeconds(1);

  /**
   * Fraction of its share of the common retry limits that an entry uses; the remainder allows for
   * entries that count at different times.
   */
  private static final double RETRY_LIMIT_FRACTION = 0.7;

  private final Knowledge knowledge;
  private final Supplier<Members> members;
  private final Ticker ticker;
  private final LoadBook loads = new LoadBook();
  private final BackendConnectionPool pool;
  private final ReachabilityChecker reachability;
  private final CallerServer callerServer;
  private final EventLoop eventLoop;
  private final InFlight inFlight = new InFlight();
  private final GracefulShutdown shutdown;
  private final Closer closer = new Closer();

  /**
   * Creates a relay, which starts to serve callers once the first configuration is complete or
   * {@link #MAX_STARTUP_WAIT} is over.
   */
  public Relay(
      GatewaySettings settings,
      Transport transport,
      CallerServer callerServer,
      Knowledge knowledge,
      RolloutDirector rollouts,
      ModelPolicy models,
      RelayFormat format,
      Ticker ticker,
      EventLog log,
      GatewayMetrics metrics,
      Peers peers,
      Hubs hubs,
      Supplier<Members> members) {
    this.knowledge = knowledge;
    this.members = members;
    this.shutdown = new GracefulShutdown(ticker);
    this.ticker = ticker;
    this.eventLoop = transport.group().next();
    this.pool = closer.register(new BackendConnectionPool(transport, format));
    ColdGate coldStartLimiter = new ColdGate(this::coldRequestsPerSecond);
    VersionGate versions = new VersionGate(settings.sessionEnd(), rollouts);
    BackendSelector selector =
        new BackendSelector(
            versions, coldStartLimiter, new AffinityPlacer(loads), settings.dataCentre());
    Map<String, RepeatAllowance> retryBudgets = new HashMap<>();
    this.reachability = new ReachabilityChecker(pool::checkReachable);
    ExchangeDependencies exchangeDependencies =
        new ExchangeDependencies(
            knowledge,
            new AdmissionCheck(knowledge, settings.maxKeyAge()),
            selector,
            versions,
            rollouts,
            loads,
            coldStartLimiter,
            service -> retryBudgets.computeIfAbsent(service, s -> newRetryBudget(settings)),
            models,
            format,
            pool,
            reachability,
            eventLoop,
            ticker,
            log,
            metrics,
            members);
    Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    CallerConnectionDependencies connectionDependencies =
        new CallerConnectionDependencies(
            exchangeDependencies, this::callerLimits, connections, shutdown, inFlight, log);
    this.callerServer = callerServer;
    knowledge
        .firstComplete()
        .thenRunAsync(() -> callerServer.open(connectionDependencies), eventLoop);
    eventLoop.schedule(
        () -> callerServer.open(connectionDependencies),
        MAX_STARTUP_WAIT.toMillis(),
        TimeUnit.MILLISECONDS);
    long cleanupPeriod = CLEANUP_PERIOD.toMillis();
    eventLoop.scheduleAtFixedRate(
        this::removeStaleState, cleanupPeriod, cleanupPeriod, TimeUnit.MILLISECONDS);
    WorkExchange exchange = new WorkExchange(loads, members, hubs, peers::send);
    long reportPeriod = WorkExchange.PERIOD.toMillis();
    eventLoop.scheduleAtFixedRate(
        () -> exchange.tick(ticker.read()), reportPeriod, reportPeriod, TimeUnit.MILLISECONDS);
    peers.onMessage(
        WorkReport.class,
        (from, message) -> loads.onReport(from.memberId(), message, ticker.read()));
    metrics.gauge("requests_in_flight", inFlight::count);
    metrics.gauge("caller_connections", connections::size);
  }

  private double coldRequestsPerSecond(BackendServer server) {
    double toleratedPerSecond =
        knowledge
            .get()
            .config()
            .flatMap(c -> Optional.ofNullable(c.services().get(server.service())))
            .map(ServiceSpec::coldRequestsPerSecond)
            .filter(perSecond -> perSecond > 0)
            .orElse(Double.MAX_VALUE);
    return members.get().coldShare(server.id(), server.dataCentre(), toleratedPerSecond);
  }

  private RepeatAllowance newRetryBudget(GatewaySettings settings) {
    return new RepeatAllowance(
        settings.repeatRatio() * RETRY_LIMIT_FRACTION,
        () -> settings.repeatSlack() * RETRY_LIMIT_FRACTION / members.get().count(),
        settings.repeatWindow());
  }

  private CallerLimits callerLimits() {
    Optional<GatewayConfig> config = knowledge.get().config();
    return config.map(GatewayConfig::limits).orElse(CallerLimits.DEFAULT);
  }

  private void removeStaleState() {
    ControlView view = knowledge.get();
    Set<String> incarnations =
        view.backendsByService().values().stream()
            .flatMap(list -> list.stream().map(BackendServer::incarnation))
            .collect(Collectors.toSet());
    pool.retain(incarnations);
    reachability.retain(incarnations);
    loads.retain(incarnations, ticker.read());
  }

  /** Returns the address that callers connect to. */
  public InetSocketAddress callerAddress() {
    return callerServer.address();
  }

  /**
   * Starts draining: each caller is told with its next answer to close the connection, and only
   * requests that can end within the limit are admitted.
   */
  public void drain(Duration limit) {
    shutdown.begin(limit);
  }

  /** Closes connections of callers without a request in progress. */
  public void closeIdleConnections() {
    eventLoop.execute(callerServer::closeIdleConnections);
  }

  /**
   * Waits until every request has been answered; returns whether that happened within the limit.
   */
  public boolean awaitRequests(Duration limit) throws InterruptedException {
    return inFlight.awaitNone(limit);
  }

  @Override
  public void close() {
    closer.close();
  }
}
