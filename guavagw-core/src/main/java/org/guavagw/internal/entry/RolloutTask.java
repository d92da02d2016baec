package org.guavagw.internal.entry;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.internal.config.ConfigHistory;
import org.guavagw.internal.control.ControlPlane;
import org.guavagw.internal.lease.LeaseService;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.RendezvousHashing;
import org.guavagw.internal.rollout.EvidenceCollector;
import org.guavagw.internal.rollout.EvidenceReport;
import org.guavagw.internal.rollout.HistoryActionExecutor;
import org.guavagw.internal.rollout.MixtureRatioTest;
import org.guavagw.internal.rollout.MonitorSettings;
import org.guavagw.internal.rollout.RolloutController;
import org.guavagw.internal.rollout.RolloutControllerEvent;
import org.guavagw.internal.rollout.RolloutMonitor;
import org.guavagw.internal.rollout.VersionOutcome;
import org.guavagw.internal.time.Clocks;

/**
 * Reports this entry's evidence on versions to the entries that evaluate rollouts, and runs the
 * rollout controller if this entry is one of them.
 *
 * <p>The first two of all entries by rendezvous hashing receive every report, so that the second
 * has the evidence when it takes over. Thread-safe; passes run on one background task.
 */
final class RolloutTask implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long REPORT_INTERVAL_MS = 2_000;
  private static final int EVALUATORS = 2;
  private static final int MAX_ROWS_PER_REPORT = 64;

  private final ControlPlane control;
  private final EvidenceCollector collector;
  private final RolloutMonitor monitor;
  private final RolloutController controller;
  private final ScheduledFuture<?> task;

  RolloutTask(
      ControlPlane control,
      ConfigHistory history,
      LeaseService leases,
      ScheduledExecutorService background,
      Clocks clocks) {
    this.control = control;
    this.collector = new EvidenceCollector(control.membership().self().id());
    this.monitor =
        new RolloutMonitor(clocks.monotonic(), new MixtureRatioTest(), MonitorSettings.standard());
    this.controller =
        new RolloutController(
            control.configs(),
            leases,
            monitor,
            new HistoryActionExecutor(history),
            clocks.monotonic());
    control.network().onMessage(EvidenceMessage.class, (from, m) -> monitor.addReport(m.report()));
    this.task =
        background.scheduleWithFixedDelay(
            this::runPass, REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Records the outcome of one answer. */
  void observe(VersionOutcome outcome) {
    collector.observe(outcome);
  }

  @Override
  public void close() {
    task.cancel(false);
  }

  private void runPass() {
    try {
      List<String> evaluators = evaluators();
      report(evaluators);
      if (evaluators.contains(control.membership().self().id())) {
        controller.runOnce().forEach(RolloutTask::log);
      }
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("rollout pass failed");
    }
  }

  private List<String> evaluators() {
    List<String> ids =
        control.membership().members().stream().filter(Member::isAlive).map(Member::id).toList();
    return RendezvousHashing.pick(RolloutController.LEASE_NAME, ids, EVALUATORS);
  }

  private void report(List<String> evaluators) {
    EvidenceReport report = collector.takeReport(MAX_ROWS_PER_REPORT);
    if (report.evidence().isEmpty()) {
      return;
    }
    String self = control.membership().self().id();
    for (String evaluator : evaluators) {
      if (evaluator.equals(self)) {
        monitor.addReport(report);
      } else {
        control.network().send(evaluator, new EvidenceMessage(report));
      }
    }
  }

  private static void log(RolloutControllerEvent event) {
    if (event instanceof RolloutControllerEvent.Acted
        || event instanceof RolloutControllerEvent.ActFailed) {
      logger.atInfo().log("rollout controller: %s", event);
    } else {
      logger.atFine().log("rollout controller: %s", event);
    }
  }
}
