package org.guavagw.cli.bench.billing;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.billing.BillIntentRecord;
import org.guavagw.internal.billing.BillRecorder;
import org.guavagw.internal.billing.BillSettings;
import org.guavagw.internal.billing.BilledAttempt;
import org.guavagw.internal.billing.JournalId;
import org.guavagw.internal.billing.Settlement;
import org.guavagw.internal.time.Clocks;
import org.guavagw.standins.table.InMemoryTableService;

/** Measures the CPU time of one bill from intent to settlement, over all threads. Stateless. */
final class BillCpuCost {
  private static final int WARM_UP_REQUESTS = 50_000;
  private static final int REQUESTS = 200_000;
  private static final int OPEN_REQUESTS = 200;
  private static final BillSettings SETTINGS =
      new BillSettings(2_000, 500, 1_000_000, Duration.ofMinutes(1));
  private static final VersionRef VERSION = new VersionRef("report-large", "2030-02");

  private BillCpuCost() {}

  /** Returns the CPU time per request in microseconds. */
  static double measureMicros() throws InterruptedException {
    bill(WARM_UP_REQUESTS);
    return bill(REQUESTS) / REQUESTS;
  }

  private static double bill(int requests) throws InterruptedException {
    BillRecorder recorder =
        new BillRecorder(
            new InMemoryTableService(),
            new JournalId("bench-1", 1, 0),
            SETTINGS,
            () -> 1,
            Clocks.system());
    long before = cpuNanos();
    recorder.start();
    for (int i = 0; i < requests + OPEN_REQUESTS; i++) {
      if (i < requests) {
        recorder.open(intentRecord(i));
      }
      if (i >= OPEN_REQUESTS) {
        recorder.settle(settlement(i - OPEN_REQUESTS));
      }
    }
    recorder.flush(Duration.ofMinutes(1));
    long spent = cpuNanos() - before;
    recorder.close();
    return spent / (double) TimeUnit.MICROSECONDS.toNanos(1);
  }

  private static long cpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long total = 0;
    for (long id : threads.getAllThreadIds()) {
      total += Math.max(0, threads.getThreadCpuTime(id));
    }
    return total;
  }

  static BillIntentRecord intentRecord(int number) {
    return new BillIntentRecord(id(number), "release-planning", VERSION, 40, 900, Instant.EPOCH);
  }

  static Settlement settlement(int number) {
    BilledAttempt attempt = new BilledAttempt("high-dam-worker-3", VERSION, 800, 270, 310);
    return new Settlement(id(number), 310, List.of(attempt));
  }

  private static String id(int number) {
    return "0001p5s9ke" + (100_000_000_000L + number) + "-high-dam-1";
  }
}
