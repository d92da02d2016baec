package org.guavagw.internal.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.jooby.Jooby;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.EntrySettings;
import org.guavagw.internal.config.ConfigHolder;
import org.guavagw.internal.config.TableConfigHistory;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.internal.http.CallerApi;
import org.guavagw.internal.http.HealthApi;
import org.guavagw.internal.http.HttpServer;
import org.guavagw.internal.http.ModelsApi;
import org.guavagw.internal.http.ServiceApi;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.lifecycle.InFlight;
import org.guavagw.internal.permit.EntryLocalPermits;
import org.guavagw.internal.session.LocalSessionPins;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.Platform;

/**
 * The parts of one entry, joined and running.
 *
 * <p>Control state changes on one thread; requests run on worker threads. Thread-safe.
 */
public final class RunningEntry implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CONFIG_POLL_MS = 500;
  private static final int BACKGROUND_THREADS = 4;

  private final EntrySettings settings;
  private final Closer closer = new Closer();
  private final Clocks clocks = Clocks.system();
  private final ObjectMapper json = new ObjectMapper();
  private final ConfigHolder configs = new ConfigHolder();
  private final InFlight inFlight = new InFlight();
  private final TableConfigHistory history;
  private final DurableParts durable;
  private final HttpServer callers;
  private volatile boolean leaving;

  private RunningEntry(EntrySettings settings, Platform platform) {
    this.settings = settings;
    this.history = new TableConfigHistory(platform.table(), clocks.wall());
    ScheduledExecutorService background = startThreads("background", BACKGROUND_THREADS);
    ScheduledExecutorService control = startThreads("control", 1);
    long incarnation = clocks.wall().millis();
    this.durable =
        DurableParts.start(
            settings, incarnation, platform, configs, () -> 1, background, clocks, closer);
    TrafficParts.Collaborators others =
        new TrafficParts.Collaborators(
            new MetricRegistry(),
            new EntryLocalPermits(configs),
            new LocalSessionPins(),
            outcome -> {});
    TrafficParts traffic =
        TrafficParts.create(settings, platform, configs, durable, others, json, clocks, closer);
    RequestIds ids = new RequestIds(settings.entryId(), clocks.wall());
    this.callers =
        closer.register(
            HttpServer.start(
                app -> installCallerApis(app, ids, traffic),
                settings.host(),
                settings.callerPort(),
                settings.workerThreads()));
    ScheduledFuture<?> polling =
        control.scheduleWithFixedDelay(this::pollConfig, 0, CONFIG_POLL_MS, TimeUnit.MILLISECONDS);
    closer.register(() -> polling.cancel(false));
  }

  /** Starts an entry. */
  public static RunningEntry start(EntrySettings settings, Platform platform) {
    return new RunningEntry(settings, platform);
  }

  /** Port for callers. */
  public int callerPort() {
    return callers.port();
  }

  /** Port for operators. */
  public int adminPort() {
    return 0;
  }

  /** Newest revision in force. */
  public long revision() {
    return configs.current().revision();
  }

  /** Whether the balancer should send requests. */
  public boolean isReady() {
    return !leaving && revision() > 0;
  }

  /** Leaves without cutting a request, and says whether all ended within the limit. */
  public boolean shutDown() {
    leaving = true;
    try {
      TimeUnit.NANOSECONDS.sleep(settings.balancerLag().toNanos());
      inFlight.close();
      boolean ended = inFlight.awaitNone(settings.shutdownLimit());
      boolean written = durable.bills().flush(settings.shutdownLimit());
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
    leaving = true;
    closer.close();
  }

  private void installCallerApis(Jooby app, RequestIds ids, TrafficParts traffic) {
    new CallerApi(json, ids, clocks, inFlight, traffic.chat()).install(app);
    new ServiceApi(json, ids, clocks, inFlight, traffic.service()).install(app);
    new ModelsApi(json, configs, traffic.authenticate(), ids).install(app);
    new HealthApi(this::isReady).install(app);
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

  private void pollConfig() {
    history
        .latestFrom(configs.current())
        .peek(configs::adopt)
        .peekLeft(f -> logger.atWarning().log("configuration not read: %s", f));
  }
}
