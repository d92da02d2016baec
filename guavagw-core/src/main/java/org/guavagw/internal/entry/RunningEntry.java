package org.guavagw.internal.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.jooby.Jooby;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.guavagw.EntrySettings;
import org.guavagw.config.RolloutState;
import org.guavagw.internal.config.ConfigHolder;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.config.TableConfigHistory;
import org.guavagw.internal.control.ControlPlane;
import org.guavagw.internal.control.ControlSettings;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.internal.http.AdminApi;
import org.guavagw.internal.http.CallerApi;
import org.guavagw.internal.http.HealthApi;
import org.guavagw.internal.http.HttpServer;
import org.guavagw.internal.http.ModelsApi;
import org.guavagw.internal.http.PrometheusTextFormat;
import org.guavagw.internal.http.ServiceApi;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.lifecycle.InFlightRequests;
import org.guavagw.internal.load.HttpLoadSource;
import org.guavagw.internal.membership.GossipSettings;
import org.guavagw.internal.peer.PeerMessageRegistry;
import org.guavagw.internal.peer.PeerSettings;
import org.guavagw.internal.permit.PeerPermitService;
import org.guavagw.internal.permit.PermitMessage;
import org.guavagw.internal.session.PeerPinClient;
import org.guavagw.internal.session.PinMessage;
import org.guavagw.internal.session.TableSessionPins;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.Platform;
import org.guavagw.platform.Vm;

/**
 * A running entry: creates, connects and closes all its components.
 *
 * <p>Control state changes on one thread; requests run on worker threads. Thread-safe.
 */
public final class RunningEntry implements AutoCloseable {
  private static final int BACKGROUND_THREADS = 4;
  private static final long PIN_FLUSH_MS = 200;
  private static final int ADMIN_THREADS = 4;
  private static final Duration LOAD_REPORT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);

  private final EntrySettings settings;
  private final Closer closer = new Closer();
  private final Clocks clocks = Clocks.system();
  private final ObjectMapper json = EntryJson.mapper();
  private final InFlightRequests inFlight = new InFlightRequests();
  private final ControlPlane control;
  private final ConfigHolder configs;
  private final DurableServices durable;
  private final LoadReportForwarder loadReports;
  private final HttpServer callerServer;
  private final HttpServer adminServer;
  private final OperatorView operatorView;
  private final long startedNanos = clocks.monotonic().read();
  private volatile boolean draining;

  private RunningEntry(EntrySettings settings, Platform platform, EntryHooks hooks) {
    this.settings = settings;
    MetricRegistry metrics = new MetricRegistry();
    ScheduledExecutorService background = startThreads("background", BACKGROUND_THREADS);
    long incarnation = clocks.wall().millis();
    TableConfigHistory history = new TableConfigHistory(platform.table(), clocks.wall());
    this.control = closer.register(createControl(incarnation, platform, history, metrics));
    this.configs = control.configs();
    this.durable =
        DurableServices.start(settings, incarnation, platform, control, background, clocks, closer);
    PeerPermitService permits = closer.register(startPermits(background));
    RolloutTask rollouts =
        closer.register(new RolloutTask(control, history, durable.leases(), background, clocks));
    TableSessionPins pins = startPins(platform, background);
    RequestPipelines.Dependencies dependencies =
        new RequestPipelines.Dependencies(
            metrics,
            hooks.permits().apply(permits),
            hooks.pins().apply(pins),
            rollouts::observe,
            () -> control.membership().members().size(),
            hooks);
    RequestPipelines pipelines =
        RequestPipelines.create(
            settings,
            platform,
            hooks.configs().apply(configs),
            durable,
            dependencies,
            json,
            clocks,
            closer);
    this.loadReports =
        closer.register(
            LoadReportForwarder.start(control.loads(), configs, pipelines, background, clocks));
    this.operatorView =
        new OperatorView(settings, control, durable, pipelines, permits, pins, inFlight);
    this.callerServer = closer.register(startCallerServer(pipelines));
    this.adminServer = closer.register(startAdminServer(history, metrics));
    control.start();
  }

  /** Starts an entry. */
  public static RunningEntry start(EntrySettings settings, Platform platform) {
    return new RunningEntry(settings, platform, EntryHooks.NONE);
  }

  /** Starts an entry whose mechanisms are wrapped by hooks. */
  public static RunningEntry start(EntrySettings settings, Platform platform, EntryHooks hooks) {
    return new RunningEntry(settings, platform, hooks);
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return callerServer.port();
  }

  /** Returns the port for operators. */
  public int adminPort() {
    return adminServer.port();
  }

  /** Returns the port for other entries. */
  public int controlPort() {
    return control.network().port();
  }

  /** Returns the revision in force at this entry. */
  public long revision() {
    return configs.current().revision();
  }

  /** Returns the configuration in force at this entry. */
  public RevisionedConfig configuration() {
    return configs.current();
  }

  /** Returns whether the load balancer should send requests to this entry. */
  public boolean isReady() {
    return !draining && revision() > 0 && knowsBackendServers();
  }

  private boolean knowsBackendServers() {
    long waitedNanos = clocks.monotonic().read() - startedNanos;
    return loadReports.hasReceivedReport() || waitedNanos > LOAD_REPORT_TIMEOUT.toNanos();
  }

  /**
   * Shuts down gracefully; returns whether all requests ended, and all bills were written, within
   * the limit.
   */
  public boolean shutDown() {
    draining = true;
    try {
      TimeUnit.NANOSECONDS.sleep(settings.balancerLag().toNanos());
      inFlight.close();
      boolean ended = inFlight.awaitNone(settings.shutdownLimit());
      boolean written = durable.bills().flush(settings.shutdownLimit());
      control.membership().leave();
      return ended && written;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      close();
    }
  }

  @Override
  public void close() {
    draining = true;
    closer.close();
  }

  private ControlSettings controlSettings(long incarnation) {
    Vm self =
        new Vm(
            settings.entryId(),
            settings.dataCentre(),
            settings.host(),
            settings.controlPort(),
            false);
    PeerSettings peers =
        PeerSettings.of(settings.host(), settings.controlPort(), settings.peerSecret());
    return new ControlSettings(self, incarnation, peers, GossipSettings.DEFAULT, List.of());
  }

  private ControlPlane createControl(
      long incarnation, Platform platform, TableConfigHistory history, MetricRegistry metrics) {
    OkHttpClient polls = new OkHttpClient.Builder().callTimeout(POLL_TIMEOUT).build();
    closer.register(() -> polls.dispatcher().executorService().shutdown());
    PeerMessageRegistry registry = new PeerMessageRegistry();
    registry.register(PermitMessage.TYPES);
    registry.register(EvidenceMessage.TYPES);
    registry.register(PinMessage.TYPES);
    return new ControlPlane(
        controlSettings(incarnation),
        platform.vms(),
        history,
        new HttpLoadSource(polls),
        (server, events) -> {},
        registry,
        metrics);
  }

  private PeerPermitService startPermits(ScheduledExecutorService background) {
    return new PeerPermitService(
        configs,
        control.membership(),
        control.network(),
        durable.leases(),
        control.controlThread(),
        background,
        clocks.monotonic());
  }

  private TableSessionPins startPins(Platform platform, ScheduledExecutorService background) {
    PeerPinClient peers = new PeerPinClient(control.membership(), control.network());
    TableSessionPins pins =
        new TableSessionPins(platform.table(), this::isInRollout, peers, clocks.monotonic());
    peers.answerWith(pins::cachedVersion);
    ScheduledFuture<?> flushing =
        background.scheduleWithFixedDelay(
            pins::flush, PIN_FLUSH_MS, PIN_FLUSH_MS, TimeUnit.MILLISECONDS);
    closer.register(() -> flushing.cancel(false));
    return pins;
  }

  private HttpServer startCallerServer(RequestPipelines pipelines) {
    RequestIds ids = new RequestIds(settings.entryId(), clocks.wall());
    return HttpServer.start(
        app -> installCallerApis(app, ids, pipelines),
        settings.host(),
        settings.callerPort(),
        settings.workerThreads());
  }

  private HttpServer startAdminServer(TableConfigHistory history, MetricRegistry metrics) {
    AdminApi.Dependencies operations =
        new AdminApi.Dependencies(
            () -> operatorView.status(isReady()),
            () -> operatorView.dump(isReady()),
            () -> PrometheusTextFormat.format(metrics),
            control.configDistributor()::readNow,
            () -> draining = true);
    AdminApi api =
        new AdminApi(
            json,
            settings.adminToken(),
            history,
            durable.decisions(),
            ConfigFaults::format,
            operations);
    return HttpServer.start(api::install, settings.host(), settings.adminPort(), ADMIN_THREADS);
  }

  private void installCallerApis(Jooby app, RequestIds ids, RequestPipelines pipelines) {
    new CallerApi(json, ids, clocks, inFlight, pipelines.chat()).install(app);
    new ServiceApi(json, ids, clocks, inFlight, pipelines.service()).install(app);
    new ModelsApi(json, configs, pipelines.authenticate(), ids).install(app);
    new HealthApi(this::isReady).install(app);
  }

  private boolean isInRollout(String model) {
    return configs.current().config().rollouts().stream()
        .filter(r -> r.model().equals(model))
        .anyMatch(r -> r.state() == RolloutState.RUNNING || r.state() == RolloutState.HELD);
  }

  private ScheduledExecutorService startThreads(String name, int count) {
    ScheduledExecutorService threads =
        Executors.newScheduledThreadPool(
            count,
            new ThreadFactoryBuilder()
                .setNameFormat(settings.entryId() + '-' + name + "-%d")
                .setDaemon(true)
                .build());
    closer.register(threads::shutdownNow);
    return threads;
  }
}
