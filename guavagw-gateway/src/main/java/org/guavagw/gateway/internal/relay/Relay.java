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
import org.guavagw.gateway.internal.cascade.ModelSelector;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.control.CurrentControlView;
import org.guavagw.gateway.internal.limits.ColdStartLimiter;
import org.guavagw.gateway.internal.limits.RetryBudget;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.PeerMessenger;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.placement.AffinityPlacer;
import org.guavagw.gateway.internal.placement.LoadTracker;
import org.guavagw.gateway.internal.placement.WorkReportSender;
import org.guavagw.gateway.internal.rollout.RolloutManager;
import org.guavagw.gateway.internal.rollout.VersionSelector;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.ServiceSpec;
import org.guavagw.gateway.spi.RelayFormat;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.lifecycle.InFlightRequests;

/** The traffic side of the gateway. Thread-safe; its parts live on the traffic thread. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class Relay implements AutoCloseable {
  /**
   * How long callers wait during a start for the first configuration, before they are told to come
   * back; many give an entry up that has not read their request for a second.
   */
  private static final Duration LONGEST_HOLD = Duration.ofMillis(800);

  /** How often what is known of backend servers that are gone is dropped. */
  private static final Duration TIDY_PERIOD = Duration.ofSeconds(1);

  /**
   * Share of the common bounds that this entry uses; the rest is for counts that differ in time.
   */
  private static final double BOUND_SHARE = 0.7;

  private final CurrentControlView currentView;
  private final Supplier<Members> members;
  private final Ticker ticker;
  private final LoadTracker loads = new LoadTracker();
  private final BackendPool pool;
  private final PathChecker paths;
  private final FrontServer front;
  private final EventLoop loop;
  private final InFlightRequests inFlight = new InFlightRequests();
  private final Shutdown shutdown;
  private final Closer closer = new Closer();

  /** Begins to serve callers as soon as enough is known to do so. */
  public Relay(
      GatewaySettings settings,
      Transport transport,
      FrontServer front,
      CurrentControlView currentView,
      RolloutManager rollouts,
      ModelSelector models,
      RelayFormat format,
      Ticker ticker,
      EventLog log,
      GatewayMetrics metrics,
      PeerMessenger peers,
      HubSelector hubSelector,
      Supplier<Members> members) {
    this.currentView = currentView;
    this.members = members;
    this.shutdown = new Shutdown(ticker);
    this.ticker = ticker;
    this.loop = transport.group().next();
    this.pool = closer.register(new BackendPool(transport, format));
    ColdStartLimiter cold = new ColdStartLimiter(this::coldShare);
    VersionSelector versions = new VersionSelector(settings.sessionTimeout(), rollouts);
    ServerChooser chooser =
        new ServerChooser(versions, cold, new AffinityPlacer(loads), settings.dataCentre());
    Map<String, RetryBudget> allowances = new HashMap<>();
    this.paths = new PathChecker(pool::checkPath);
    ExchangeParts exchanges =
        new ExchangeParts(
            currentView,
            new RequestGate(currentView, settings.maxKeyAge()),
            chooser,
            versions,
            rollouts,
            loads,
            cold,
            service -> allowances.computeIfAbsent(service, s -> allowance(settings)),
            models,
            format,
            pool,
            paths,
            loop,
            ticker,
            log,
            metrics,
            members);
    Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    FrontParts parts =
        new FrontParts(exchanges, this::limits, connections, shutdown, inFlight, log);
    this.front = front;
    currentView.whenReady().thenRunAsync(() -> front.open(parts), loop);
    loop.schedule(() -> front.open(parts), LONGEST_HOLD.toMillis(), TimeUnit.MILLISECONDS);
    long period = TIDY_PERIOD.toMillis();
    loop.scheduleAtFixedRate(this::tidy, period, period, TimeUnit.MILLISECONDS);
    WorkReportSender exchange = new WorkReportSender(loads, members, hubSelector, peers::send);
    long report = WorkReportSender.PERIOD.toMillis();
    loop.scheduleAtFixedRate(
        () -> exchange.tick(ticker.read()), report, report, TimeUnit.MILLISECONDS);
    peers.onMessage(
        WorkReport.class,
        (from, message) -> loads.onReport(from.memberId(), message, ticker.read()));
    metrics.gauge("requests_in_flight", inFlight::count);
    metrics.gauge("caller_connections", connections::size);
  }

  private double coldShare(BackendServer server) {
    double tolerated =
        currentView
            .get()
            .config()
            .flatMap(c -> Optional.ofNullable(c.services().get(server.service())))
            .map(ServiceSpec::coldRequestsPerSecond)
            .filter(perSecond -> perSecond > 0)
            .orElse(Double.MAX_VALUE);
    return members.get().coldShare(server.id(), server.dataCentre(), tolerated);
  }

  private RetryBudget allowance(GatewaySettings settings) {
    return new RetryBudget(
        settings.retryRatio() * BOUND_SHARE,
        () -> settings.retrySlack() * BOUND_SHARE / members.get().count(),
        settings.retryWindow());
  }

  private CallerLimits limits() {
    Optional<GatewayConfig> config = currentView.get().config();
    return config.map(GatewayConfig::limits).orElse(CallerLimits.DEFAULT);
  }

  private void tidy() {
    ControlView view = currentView.get();
    Set<String> incarnations =
        view.backendsByService().values().stream()
            .flatMap(list -> list.stream().map(BackendServer::incarnation))
            .collect(Collectors.toSet());
    pool.retain(incarnations);
    paths.retain(incarnations);
    loads.retain(incarnations, ticker.read());
  }

  /** Address that callers connect to. */
  public InetSocketAddress callerAddress() {
    return front.address();
  }

  /** Tells callers with their next answer to go elsewhere, and takes only what can still end. */
  public void drain(Duration limit) {
    shutdown.begin(limit);
  }

  /** Closes connections of callers that wait for nothing. */
  public void closeIdleConnections() {
    loop.execute(front::closeIdleConnections);
  }

  /** Waits until every request has its answer, and says whether that came about in time. */
  public boolean awaitRequests(Duration limit) throws InterruptedException {
    return inFlight.awaitNone(limit);
  }

  @Override
  public void close() {
    closer.close();
  }
}
