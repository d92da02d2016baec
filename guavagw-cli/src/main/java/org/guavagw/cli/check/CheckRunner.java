package org.guavagw.cli.check;

import com.google.common.util.concurrent.Futures;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.guavagw.internal.billing.Bill;
import org.guavagw.internal.billing.BillBasis;
import org.guavagw.internal.billing.BillReader;
import org.guavagw.standins.fault.FaultRates;
import org.guavagw.standins.history.Event;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.Violation;
import org.guavagw.standins.history.check.Checkers;

/** Runs traffic and faults against a deployment and checks the history. Used once. */
public final class CheckRunner {
  private static final Duration SPREAD_WINDOW = Duration.ofSeconds(3);
  private static final Duration BILLING_WINDOW = Duration.ofSeconds(1);
  private static final Duration READY_LIMIT = Duration.ofSeconds(30);
  private static final Duration BILLS_LIMIT = Duration.ofSeconds(60);
  private static final long WATCH_INTERVAL_MS = 20;
  private static final long POLL_INTERVAL_MS = 100;

  private final CheckSettings settings;
  private final List<String> faults = new ArrayList<>();

  /** Creates a runner for one run. */
  public CheckRunner(CheckSettings settings) {
    this.settings = settings;
  }

  /** Runs traffic and faults to the end, then checks the history. */
  public CheckResult run() throws InterruptedException {
    ScheduledExecutorService watcher = Executors.newSingleThreadScheduledExecutor();
    try (RecordedDeployment deployment = new RecordedDeployment(settings)) {
      ScheduledFuture<?> watching =
          watcher.scheduleWithFixedDelay(
              deployment::recordChanges, 0, WATCH_INTERVAL_MS, TimeUnit.MILLISECONDS);
      if (!deployment.local().awaitReady(READY_LIMIT)) {
        throw new IllegalStateException("the entries did not become ready");
      }
      runTrafficWithFaults(deployment);
      watching.cancel(false);
      recordBillsWritten(deployment);
      History history = deployment.recorder().history();
      List<Violation> violations =
          Checkers.check(Checkers.all(SPREAD_WINDOW, BILLING_WINDOW), history);
      return new CheckResult(settings.seed(), faults, history, violations);
    } finally {
      watcher.shutdownNow();
    }
  }

  private void runTrafficWithFaults(RecordedDeployment deployment) throws InterruptedException {
    ExecutorService faultThreads = Executors.newCachedThreadPool();
    List<Future<?>> injections = new ArrayList<>();
    try (CheckTraffic traffic = new CheckTraffic(deployment, settings)) {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
      List<Fault> planned = plannedFaults(random);
      long pauseMs = settings.length().toMillis() / (planned.size() + 1);
      for (Fault fault : planned) {
        TimeUnit.MILLISECONDS.sleep(pauseMs);
        faults.add(fault.name());
        injections.add(faultThreads.submit(() -> inject(fault, deployment)));
      }
      TimeUnit.MILLISECONDS.sleep(pauseMs);
      injections.forEach(Futures::getUnchecked);
      traffic.stop();
    } finally {
      faultThreads.shutdownNow();
    }
  }

  private List<Fault> plannedFaults(UniformRandomProvider random) {
    List<Fault> planned = new ArrayList<>();
    settings.script().forEach(name -> planned.add(FaultCatalog.named(name, random)));
    while (settings.script().isEmpty() && planned.size() < settings.faults()) {
      planned.add(FaultCatalog.draw(random));
    }
    return planned;
  }

  private static Void inject(Fault fault, RecordedDeployment deployment)
      throws InterruptedException {
    fault.inject(deployment);
    return null;
  }

  private static void recordBillsWritten(RecordedDeployment deployment)
      throws InterruptedException {
    deployment.local().table().faults().down(false);
    deployment.local().table().faults().rates(FaultRates.NONE);
    BillReader billReader = new BillReader(deployment.local().table());
    long deadline = System.nanoTime() + BILLS_LIMIT.toNanos();
    while (!billReader.unsettled().get().isEmpty() && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }
    TimeUnit.MILLISECONDS.sleep(BILLING_WINDOW.toMillis());
    List<Bill> charges =
        billReader.bills().get().stream().filter(b -> b.basis() != BillBasis.NOT_RUN).toList();
    for (Bill bill : charges) {
      deployment.recorder().record(new Event.BillWritten(bill.requestId()));
    }
  }
}
