package org.guavagw.gateway.internal.placement;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.DataCentreWork;
import org.guavagw.gateway.internal.peers.ServerWork;
import org.guavagw.gateway.internal.peers.ServerWork.Work;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkSummary;

/**
 * Takes what other entries report of backend servers into their load and passes on the notices.
 *
 * <p>A message with a figure that cannot be true is logged, counted and not used. Confined to the
 * traffic thread.
 */
public final class WorkReportReceiver {
  /**
   * Requests at a backend server for each connection that it accepts; connections that it is about
   * to reset carry requests too.
   */
  private static final int MAX_REQUESTS_PER_CONNECTION = 2;

  /** No request waits this long for its prefill. */
  private static final double MAX_WAITING_MILLIS = Duration.ofHours(1).toMillis();

  private final PeerWorkReports reports;
  private final NoticeListener notices;
  private final IntSupplier maxConnections;
  private final Ticker ticker;
  private final EventLog log;
  private final GatewayMetrics metrics;

  /**
   * Creates a receiver.
   *
   * @param notices receives what entries tell beside their work
   * @param maxConnections the largest number of connections that any backend server accepts
   */
  public WorkReportReceiver(
      LoadTracker loads,
      NoticeListener notices,
      IntSupplier maxConnections,
      Ticker ticker,
      EventLog log,
      GatewayMetrics metrics) {
    this.reports = loads.peerReports();
    this.notices = notices;
    this.maxConnections = maxConnections;
    this.ticker = ticker;
    this.log = log;
    this.metrics = metrics;
  }

  /** Records the work of one entry. */
  public void onReport(String entry, WorkReport report) {
    if (isPlausible(entry, report.work())) {
      reports.onReport(entry, report, ticker.read());
      passOnNotices(entry, report.work());
    }
  }

  /** Records the work of the entries of another data centre. */
  public void onDataCentreWork(String hub, DataCentreWork report) {
    if (isPlausible(hub, report.work())) {
      reports.onDataCentreWork(hub, report, ticker.read());
      passOnNotices(hub, report.work());
    }
  }

  /** Records the work of all other entries, as summarized by this entry's hub. */
  public void onSummary(String hub, WorkSummary summary) {
    if (isPlausible(hub, summary.work())) {
      reports.onSummary(hub, summary, ticker.read());
      passOnNotices(hub, summary.work());
    }
  }

  private void passOnNotices(String sender, ServerWork work) {
    notices.onNotices(sender, work.notices(), ticker.read());
  }

  private boolean isPlausible(String sender, ServerWork work) {
    long maxRunning = (long) maxConnections.getAsInt() * MAX_REQUESTS_PER_CONNECTION;
    Optional<String> implausible =
        work.byIncarnation().entrySet().stream()
            .filter(e -> !isPlausible(e.getValue(), maxRunning))
            .map(e -> e.getKey() + " " + e.getValue())
            .findFirst();
    implausible.ifPresent(
        figure -> {
          metrics.onImplausibleReport();
          log.failure("work_report_ignored")
              .with("from", sender)
              .with("figure", figure)
              .with("max_running", maxRunning)
              .write();
        });
    return implausible.isEmpty();
  }

  private static boolean isPlausible(Work work, long maxRunning) {
    return work.running() >= 0
        && work.running() <= maxRunning
        && work.waitingMillis() >= 0
        && work.waitingMillis() <= MAX_WAITING_MILLIS;
  }
}
