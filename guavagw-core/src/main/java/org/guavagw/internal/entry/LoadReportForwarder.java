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

/** Forwards load reports to placement and admission. Runs as one background task. */
final class LoadReportForwarder implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long INTERVAL_MS = 500;

  private final BackendLoadTable table;
  private final ConfigSource configs;
  private final RequestPipelines pipelines;
  private final Clocks clocks;
  private volatile ScheduledFuture<?> task;
  private volatile boolean receivedReport;

  private LoadReportForwarder(
      BackendLoadTable table, ConfigSource configs, RequestPipelines pipelines, Clocks clocks) {
    this.table = table;
    this.configs = configs;
    this.pipelines = pipelines;
    this.clocks = clocks;
  }

  static LoadReportForwarder start(
      BackendLoadTable table,
      ConfigSource configs,
      RequestPipelines pipelines,
      ScheduledExecutorService background,
      Clocks clocks) {
    LoadReportForwarder forwarder = new LoadReportForwarder(table, configs, pipelines, clocks);
    forwarder.task =
        background.scheduleWithFixedDelay(
            forwarder::forwardAll, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    return forwarder;
  }

  /** Returns whether a report on any backend server has arrived. */
  boolean hasReceivedReport() {
    return receivedReport;
  }

  @Override
  public void close() {
    task.cancel(false);
  }

  private void forwardAll() {
    try {
      for (BackendServerConfig server : configs.current().config().backendServers()) {
        Optional<LoadReport> report = table.load(server.id());
        receivedReport |= report.isPresent();
        report.ifPresent(r -> pipelines.views().onLoadReport(server.id(), toPlacementReport(r)));
      }
      pipelines.queues().refresh(pipelines.index().current());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("forwarding load reports failed");
    }
  }

  private org.guavagw.internal.placement.LoadReport toPlacementReport(LoadReport r) {
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
