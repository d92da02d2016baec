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
public final class CheckRun {
  private static final Duration SPREAD_WINDOW = Duration.ofSeconds(3);
  private static final Duration BILLING_WINDOW = Duration.ofSeconds(1);
  private static final Duration READY_LIMIT = Duration.ofSeconds(30);
  private static final Duration BILLS_LIMIT = Duration.ofSeconds(60);
  private static final long WATCH_MS = 20;
  private static final long POLL_MS = 100;

  private final CheckSettings settings;
  private final List<String> faults = new ArrayList<>();

  /** Prepares a run. */
  public CheckRun(CheckSettings settings) {
    this.settings = settings;
  }

  /** Runs to the end and checks. */
  public CheckResult run() throws InterruptedException {
    ScheduledExecutorService watcher = Executors.newSingleThreadScheduledExecutor();
    try (CheckedDeployment checked = new CheckedDeployment(settings)) {
      ScheduledFuture<?> watching =
          watcher.scheduleWithFixedDelay(checked::watch, 0, WATCH_MS, TimeUnit.MILLISECONDS);
      if (!checked.local().awaitReady(READY_LIMIT)) {
        throw new IllegalStateException("the entries did not become ready");
      }
      drive(checked);
      watching.cancel(false);
      recordBills(checked);
      History history = checked.recorder().history();
      List<Violation> violations =
          Checkers.check(Checkers.all(SPREAD_WINDOW, BILLING_WINDOW), history);
      return new CheckResult(settings.seed(), faults, history, violations);
    } finally {
      watcher.shutdownNow();
    }
  }

  private void drive(CheckedDeployment checked) throws InterruptedException {
    ExecutorService strikes = Executors.newCachedThreadPool();
    List<Future<?>> struck = new ArrayList<>();
    try (CheckTraffic traffic = new CheckTraffic(checked, settings)) {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
      List<Fault> planned = plannedFaults(random);
      long pauseMs = settings.length().toMillis() / (planned.size() + 1);
      for (Fault fault : planned) {
        TimeUnit.MILLISECONDS.sleep(pauseMs);
        faults.add(fault.name());
        struck.add(strikes.submit(() -> strike(fault, checked)));
      }
      TimeUnit.MILLISECONDS.sleep(pauseMs);
      struck.forEach(Futures::getUnchecked);
      traffic.stop();
    } finally {
      strikes.shutdownNow();
    }
  }

  private List<Fault> plannedFaults(UniformRandomProvider random) {
    List<Fault> planned = new ArrayList<>();
    settings.script().forEach(name -> planned.add(Faults.named(name, random)));
    while (settings.script().isEmpty() && planned.size() < settings.faults()) {
      planned.add(Faults.draw(random));
    }
    return planned;
  }

  private static Void strike(Fault fault, CheckedDeployment checked) throws InterruptedException {
    fault.strike(checked);
    return null;
  }

  private static void recordBills(CheckedDeployment checked) throws InterruptedException {
    checked.local().table().faults().down(false);
    checked.local().table().faults().rates(FaultRates.NONE);
    BillReader reader = new BillReader(checked.local().table());
    long deadline = System.nanoTime() + BILLS_LIMIT.toNanos();
    while (!reader.unsettled().get().isEmpty() && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    TimeUnit.MILLISECONDS.sleep(BILLING_WINDOW.toMillis());
    List<Bill> charges =
        reader.bills().get().stream().filter(b -> b.basis() != BillBasis.NOT_RUN).toList();
    for (Bill bill : charges) {
      checked.recorder().record(new Event.BillWritten(bill.requestId()));
    }
  }
}
