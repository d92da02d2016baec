package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.guavagw.gateway.GatewaySettings;
import org.guavagw.gateway.internal.admission.AdmissionLog;
import org.guavagw.gateway.internal.admission.AdmissionMetrics;
import org.guavagw.gateway.internal.admission.CombinedListener;
import org.guavagw.gateway.internal.admission.DemandExchange;
import org.guavagw.gateway.internal.admission.QueueingScheduler;
import org.guavagw.gateway.internal.cascade.ModelSelector;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.control.CurrentControlView;
import org.guavagw.gateway.internal.limits.BrittleServers;
import org.guavagw.gateway.internal.limits.ColdStartLimiter;
import org.guavagw.gateway.internal.limits.LeavingServers;
import org.guavagw.gateway.internal.limits.RetryBudget;
import org.guavagw.gateway.internal.limits.ServerAvailability;
import org.guavagw.gateway.internal.limits.ServerPauses;
import org.guavagw.gateway.internal.limits.ServerRateLimits;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.memory.MemoryAccount;
import org.guavagw.gateway.internal.memory.MemoryLimits;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.DataCentreWork;
import org.guavagw.gateway.internal.peers.DemandReport;
import org.guavagw.gateway.internal.peers.DemandSummary;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.MeasurementReport;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.PeerMessenger;
import org.guavagw.gateway.internal.peers.ServerNotices;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkSummary;
import org.guavagw.gateway.internal.placement.LoadTracker;
import org.guavagw.gateway.internal.placement.MeasurementExchange;
import org.guavagw.gateway.internal.placement.RequestPlacer;
import org.guavagw.gateway.internal.placement.WorkReportReceiver;
import org.guavagw.gateway.internal.placement.WorkReportSender;
import org.guavagw.gateway.internal.quarantine.SuspectStore;
import org.guavagw.gateway.internal.rollout.RolloutManager;
import org.guavagw.gateway.internal.rollout.SessionReporter;
import org.guavagw.gateway.internal.rollout.VersionSelector;
import org.guavagw.gateway.internal.scheduling.PeriodicTasks;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.RelayFormat;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.lifecycle.InFlightRequests;

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

  /** Time within which reports of other entries lead to one poll of the scheduler. */
  private static final Duration REPORT_BATCH_TIME = Duration.ofMillis(10);

  /**
   * Fraction of its share of the common retry limits that an entry uses; the remainder allows for
   * entries that count at different times.
   */
  private static final double RETRY_LIMIT_FRACTION = 0.95;

  private final CurrentControlView currentView;
  private final Supplier<Members> members;
  private final Ticker ticker;
  private final ConfiguredLimits limits;
  private final LoadTracker loads;
  private final ColdStartLimiter coldStartLimiter;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private final ServerAvailability availability;
  private final CrashGuard crashGuard;
  private final SuspectStore suspects;
  private final BackendConnectionPool pool;
  private final BackendConnectivity connectivity;
  private final EntryForwarding forwarding;
  private final ReachabilityChecker reachability;
  private final CallerServer callerServer;
  private final ConnectionCloser connectionCloser;
  private final EventLoop eventLoop;
  private final PeriodicTasks tasks;
  private final PeriodicChecks checks = new PeriodicChecks();
  private final InFlightRequests inFlight = new InFlightRequests();
  private final GracefulShutdown shutdown;
  private final long startNanos;
  private final MemoryAccount memory;
  private final WorkReportSender workReportSender;
  private final QueueingScheduler scheduler;
  private final DemandExchange demand;
  private final Closer closer = new Closer();
  private boolean reportScheduled;
  private boolean pollScheduled;

  /**
   * Creates a relay, which starts to serve callers once the first configuration is complete or
   * {@link #MAX_STARTUP_WAIT} is over.
   */
  public Relay(
      GatewaySettings settings,
      Transport transport,
      CallerServer callerServer,
      CurrentControlView currentView,
      RolloutManager rollouts,
      ModelSelector models,
      RelayFormat format,
      Ticker ticker,
      EventLog log,
      GatewayMetrics metrics,
      PeerMessenger peers,
      HubSelector hubSelector,
      Supplier<Members> members,
      SuspectStore suspects) {
    this.currentView = currentView;
    this.members = members;
    this.limits = new ConfiguredLimits(currentView, members);
    this.loads = new LoadTracker(limits::engineOf);
    this.coldStartLimiter = new ColdStartLimiter(limits::coldRequestsPerSecond);
    this.shutdown = new GracefulShutdown(ticker);
    this.ticker = ticker;
    this.startNanos = ticker.read();
    this.memory = newMemoryAccount(settings, log, metrics);
    this.eventLoop = transport.group().next();
    this.tasks = new PeriodicTasks(eventLoop, log);
    EventLoopLag lag = new EventLoopLag(callerServer.listeningSinceNanos());
    PendingReadBarrier readBarrier = new PendingReadBarrier(eventLoop, lag, ticker);
    this.connectivity = new BackendConnectivity(this::probe, this::serversInService, ticker, log);
    var pools = new ConnectionPools(transport, format, readBarrier, memory.limitBytes(), ticker);
    this.pool = closer.register(pools.toServers(connectivity));
    this.forwarding = closer.register(pools.newForwarding(members, peers));
    this.availability = newAvailability(log);
    this.workReportSender = newWorkReportSender(settings, hubSelector, peers);
    var versions =
        new VersionSelector(settings.sessionTimeout(), settings.exposureLimit(), rollouts);
    BackendSelector selector = newSelector(versions, settings);
    this.reachability = new ReachabilityChecker(newReachabilityProbe()::check);
    this.crashGuard = newCrashGuard(log);
    this.suspects = suspects;
    this.scheduler = newScheduler(settings, log, metrics);
    this.demand = new DemandExchange(scheduler, members, hubSelector, peers::send);
    ExchangeDependencies exchangeDependencies =
        new ExchangeDependencies(
            currentView,
            new AdmissionCheck(currentView, settings.maxKeyAge()),
            scheduler,
            selector,
            versions,
            rollouts,
            loads,
            coldStartLimiter,
            availability,
            crashGuard,
            service -> retryBudgets.computeIfAbsent(service, s -> newRetryBudget(settings)),
            models,
            format,
            pool,
            connectivity,
            forwarding,
            reachability,
            checks,
            eventLoop,
            ticker,
            log,
            metrics,
            members);
    this.callerServer = callerServer;
    var connectionDependencies = newConnectionDependencies(exchangeDependencies, readBarrier);
    this.connectionCloser = accept(settings.peerAddress(), connectionDependencies);
    runPeriodicTasks(lag);
    exchangeReports(peers, hubSelector, versions, log, metrics);
    serveGauges(metrics, lag, connectionDependencies.connections());
  }

  private WorkReportSender newWorkReportSender(
      GatewaySettings settings, HubSelector hubs, PeerMessenger peers) {
    long link = settings.resources().linkBytesPerSecond();
    return new WorkReportSender(loads, members, hubs, this::noticesToTell, peers::send, link);
  }

  private void serveGauges(
      GatewayMetrics metrics, EventLoopLag lag, Set<CallerConnection> connections) {
    metrics.gauge("event_loop_lag_ms", () -> lag.recent(ticker.read()).toMillis());
    metrics.gauge("requests_in_flight", inFlight::count);
    metrics.gauge("requests_waiting", scheduler::waiting);
    metrics.gauge("prompt_parts_held", () -> crashGuard.quarantine().heldPartCount());
    metrics.gauge("requests_held", () -> crashGuard.quarantine().heldRequestCount());
    metrics.gauge("caller_connections", connections::size);
    metrics.gauge("caller_bytes_held", memory::totalBytes);
    metrics.gauge("caller_bytes_limit", memory::limitBytes);
  }

  /** Starts to accept connections of callers and other entries; returns what ends them. */
  private ConnectionCloser accept(
      InetSocketAddress peerAddress, CallerConnectionDependencies dependencies) {
    openWhenReady(dependencies);
    CallerServer entryServer = forwarding.accept(peerAddress, dependencies);
    Runnable stopAccepting =
        () -> {
          callerServer.stopAccepting();
          entryServer.stopAccepting();
        };
    return new ConnectionCloser(
        dependencies.connections(), stopAccepting, eventLoop, dependencies.readBarrier());
  }

  private void openWhenReady(CallerConnectionDependencies dependencies) {
    Runnable open = () -> callerServer.open(dependencies);
    currentView.whenReady().thenRunAsync(open, eventLoop);
    eventLoop.schedule(open, MAX_STARTUP_WAIT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void runPeriodicTasks(EventLoopLag lag) {
    tasks.runEvery(CLEANUP_PERIOD, this::removeStaleState);
    tasks.runEvery(WorkReportSender.PERIOD, () -> tick(lag));
  }

  /** Sends the reports that are due once the events of this moment have been handled. */
  private void reportWorkSoon() {
    if (!reportScheduled) {
      reportScheduled = true;
      eventLoop.execute(this::sendWorkReports);
    }
  }

  private void sendWorkReports() {
    reportScheduled = false;
    workReportSender.tick(ticker.read());
  }

  private ServerNotices noticesToTell(long nowNanos) {
    return availability.toTell(nowNanos).withQuarantine(crashGuard.quarantine().notices(nowNanos));
  }

  private void onNotices(String entry, ServerNotices notices, long nowNanos) {
    availability.onReport(entry, notices, nowNanos);
    crashGuard.quarantine().onNotices(notices.quarantine(), nowNanos);
  }

  private void tick(EventLoopLag lag) {
    lag.tick(ticker.read());
    connectivity.tick();
    forwarding.report(connectivity.cutOffServices());
    sendWorkReports();
    demand.tick(ticker.read());
    pollScheduler();
    checks.run(lag.readUntil(ticker.read()));
  }

  private void exchangeReports(
      PeerMessenger peers,
      HubSelector hubSelector,
      VersionSelector versions,
      EventLog log,
      GatewayMetrics metrics) {
    exchangeMeasurements(peers, hubSelector, metrics);
    WorkReportReceiver receiver =
        new WorkReportReceiver(
            loads, this::onNotices, limits::maxBackendConnections, ticker, log, metrics);
    peers.onMessage(
        WorkReport.class,
        (from, message) -> {
          receiver.onReport(from.memberId(), message);
          pollIfWaiting();
        });
    peers.onMessage(
        DataCentreWork.class,
        (from, message) -> {
          receiver.onDataCentreWork(from.memberId(), message);
          pollIfWaiting();
        });
    peers.onMessage(
        WorkSummary.class,
        (from, message) -> {
          receiver.onSummary(from.memberId(), message);
          pollIfWaiting();
        });
    peers.onMessage(
        DemandReport.class,
        (from, message) -> demand.onReport(from.memberId(), message, ticker.read()));
    peers.onMessage(
        DemandSummary.class, (from, message) -> demand.onSummary(message, ticker.read()));
    SessionReporter sessions =
        new SessionReporter(versions, currentView, members, peers, ticker::read);
    tasks.runEvery(SessionReporter.PERIOD, () -> sessions.tick(ticker.read()));
    suspects.onRead(
        read -> eventLoop.execute(() -> crashGuard.quarantine().onRead(read, ticker.read())));
  }

  private void exchangeMeasurements(
      PeerMessenger peers, HubSelector hubSelector, GatewayMetrics metrics) {
    MeasurementExchange exchange =
        new MeasurementExchange(loads, members, hubSelector, peers::send, metrics);
    peers.onMessage(
        MeasurementReport.class,
        (from, message) -> exchange.onReport(from.memberId(), message, ticker.read()));
    tasks.runEvery(MeasurementExchange.PERIOD, () -> exchange.tick(ticker.read()));
    tasks.runEvery(MeasurementExchange.STEP, exchange::sendSome);
  }

  private QueueingScheduler newScheduler(
      GatewaySettings settings, EventLog log, GatewayMetrics metrics) {
    return new QueueingScheduler(
        settings.queues(),
        new CombinedListener(new AdmissionMetrics(metrics.registry()), new AdmissionLog(log)),
        nanos -> runAt(nanos, this::pollScheduler),
        () -> ThreadLocalRandom.current().nextDouble());
  }

  private void runAt(long nanos, Runnable task) {
    eventLoop.schedule(task, nanos - ticker.read(), TimeUnit.NANOSECONDS);
  }

  /**
   * Polls the scheduler soon, as servers may have room now; once for reports that come together.
   */
  private void pollIfWaiting() {
    if (!pollScheduled && scheduler.waiting() > 0) {
      pollScheduled = true;
      eventLoop.schedule(
          () -> {
            pollScheduled = false;
            pollScheduler();
          },
          REPORT_BATCH_TIME.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  private void pollScheduler() {
    scheduler.poll(ticker.read());
  }

  private CrashGuard newCrashGuard(EventLog log) {
    return new CrashGuard(
        pool::checkReachable,
        connectivity,
        () -> members.get().coordinatorRank(),
        this::reportWorkSoon,
        ticker,
        log);
  }

  private ReachabilityProbe newReachabilityProbe() {
    return new ReachabilityProbe(pool::checkReachable, connectivity, connectivity::isCutOff);
  }

  private BackendSelector newSelector(VersionSelector versions, GatewaySettings settings) {
    var placer =
        new RequestPlacer(
            loads,
            () -> ThreadLocalRandom.current().nextDouble(),
            settings.queues().maxRequests() > 0);
    return new BackendSelector(
        versions, coldStartLimiter, availability, placer, settings.dataCentre());
  }

  private void probe(BackendServer server) {
    pool.checkReachable(server, reachable -> {});
  }

  private List<BackendServer> serversInService(String service) {
    return BackendSelector.inService(currentView.get(), service);
  }

  private CallerConnectionDependencies newConnectionDependencies(
      ExchangeDependencies dependencies, PendingReadBarrier readBarrier) {
    return new CallerConnectionDependencies(
        dependencies,
        false,
        limits::callerLimits,
        ConcurrentHashMap.newKeySet(),
        readBarrier,
        shutdown,
        inFlight,
        memory,
        new UnansweredRequestLog(dependencies.log(), dependencies.metrics(), ticker),
        dependencies.log());
  }

  private static MemoryAccount newMemoryAccount(
      GatewaySettings settings, EventLog log, GatewayMetrics metrics) {
    return new MemoryAccount(
        MemoryLimits.of(settings.resources()), new EvictionReporter(log, metrics));
  }

  private ServerAvailability newAvailability(EventLog log) {
    DoubleSupplier random = () -> ThreadLocalRandom.current().nextDouble();
    return new ServerAvailability(
        new LeavingServers(),
        new ServerPauses(random),
        new ServerRateLimits(limits::requestLimitShare, random),
        new BrittleServers(loads::totalInFlight, limits::testsBrittleServer, random),
        this::reportWorkSoon,
        log);
  }

  private RetryBudget newRetryBudget(GatewaySettings settings) {
    return new RetryBudget(
        settings.retryRatio() * RETRY_LIMIT_FRACTION,
        () -> settings.retrySlack() * RETRY_LIMIT_FRACTION / members.get().count(),
        settings.retryWindow(),
        startNanos);
  }

  private void removeStaleState() {
    ControlView view = currentView.get();
    Set<String> incarnations =
        view.backendsByService().values().stream()
            .flatMap(list -> list.stream().map(BackendServer::incarnation))
            .collect(Collectors.toSet());
    pool.retain(incarnations);
    reachability.retain(incarnations);
    loads.retain(incarnations, ticker.read());
    availability.retain(incarnations, ticker.read());
    crashGuard.retain(incarnations);
    suspects.save(crashGuard.quarantine().ownSuspects());
    connectivity.retain(incarnations);
    forwarding.expire();
  }

  /** Returns the address that callers connect to. */
  public InetSocketAddress callerAddress() {
    return callerServer.address();
  }

  /**
   * Starts draining: each caller is told with its next answer to close the connection. After a
   * notice period, only requests that can end within the limit are admitted.
   */
  public void drain(Duration limit) {
    shutdown.begin(limit);
  }

  /** Closes connections of callers without a request in progress. */
  public void closeIdleConnections() {
    connectionCloser.closeIdle();
  }

  /**
   * Waits until every request has been answered, or the limit is over; from that moment all others
   * are refused. Returns whether every request has been answered.
   */
  public boolean finishRequests(Duration limit) throws InterruptedException {
    return inFlight.closeWhenNone(limit);
  }

  /**
   * Answers the requests that are left, as not run where that is proven, and closes the connections
   * of callers once they have been sent the answers; returns when none is left, or the limit is
   * over.
   */
  public void endRequests(Duration limit) throws InterruptedException {
    shutdown.end();
    eventLoop.execute(scheduler::stop);
    var unused = connectionCloser.closeAll().await(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    closer.close();
  }
}
