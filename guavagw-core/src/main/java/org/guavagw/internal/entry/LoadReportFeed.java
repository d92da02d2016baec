package org.guavagw.internal.entry;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.load.BackendLoadTable;
import org.guavagw.internal.load.LoadReport;
import org.guavagw.internal.time.Clocks;

/** Passes spread load reports on to placement and admission. Runs as one background task. */
final class LoadReportFeed implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long INTERVAL_MS = 500;

  private final BackendLoadTable table;
  private final ConfigSource configs;
  private final TrafficParts traffic;
  private final Clocks clocks;
  private volatile ScheduledFuture<?> task;
  private volatile boolean heard;

  private LoadReportFeed(
      BackendLoadTable table, ConfigSource configs, TrafficParts traffic, Clocks clocks) {
    this.table = table;
    this.configs = configs;
    this.traffic = traffic;
    this.clocks = clocks;
  }

  static LoadReportFeed start(
      BackendLoadTable table,
      ConfigSource configs,
      TrafficParts traffic,
      ScheduledExecutorService background,
      Clocks clocks) {
    LoadReportFeed feed = new LoadReportFeed(table, configs, traffic, clocks);
    feed.task =
        background.scheduleWithFixedDelay(
            feed::passAll, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    return feed;
  }

  /** Whether any backend server has been heard of. */
  boolean hasHeard() {
    return heard;
  }

  @Override
  public void close() {
    task.cancel(false);
  }

  private void passAll() {
    try {
      for (BackendServerConfig server : configs.current().config().backendServers()) {
        Optional<LoadReport> report = table.load(server.id());
        heard |= report.isPresent();
        report.ifPresent(r -> traffic.views().onLoadReport(server.id(), toView(r)));
      }
      traffic.pools().refresh(traffic.index().current());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("load reports not passed on");
    }
  }

  private org.guavagw.internal.placement.LoadReport toView(LoadReport r) {
    return new org.guavagw.internal.placement.LoadReport(
        r.bootId(),
        r.cold(),
        r.running(),
        r.waiting(),
        r.slots(),
        r.versions(),
        clocks.monotonic().read() - r.age().toNanos());
  }
}
