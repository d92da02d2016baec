package org.guavagw.cli.bench.billing;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.guavagw.internal.billing.BillRecorder;
import org.guavagw.internal.billing.BillSettings;
import org.guavagw.internal.billing.JournalId;
import org.guavagw.internal.time.Clocks;
import org.guavagw.standins.table.InMemoryTableService;

/** Measures the heap per request while its bill is pending. Stateless. */
final class PendingBillMemory {
  private static final int REQUESTS = 100_000;
  private static final int COLLECTIONS = 3;
  private static final long COLLECTION_PAUSE_MS = 100;
  private static final BillSettings SETTINGS =
      new BillSettings(1, 500, REQUESTS, Duration.ofMillis(1));

  private PendingBillMemory() {}

  /** Returns the heap bytes per answered request that is not yet billed. */
  static long measureBytes() throws InterruptedException {
    long before = usedBytes();
    BillRecorder recorder =
        new BillRecorder(
            new InMemoryTableService(),
            new JournalId("bench-1", 1, 0),
            SETTINGS,
            () -> 1,
            Clocks.system());
    for (int i = 0; i < REQUESTS; i++) {
      recorder.open(BillCpuCost.intentRecord(i));
      recorder.settle(BillCpuCost.settlement(i));
    }
    long used = usedBytes() - before;
    return used / recorder.unbilled().pendingRecords();
  }

  private static long usedBytes() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      TimeUnit.MILLISECONDS.sleep(COLLECTION_PAUSE_MS);
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
