package org.guavagw.cli.bench.billing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.guavagw.internal.billing.BillRecorder;
import org.guavagw.internal.billing.BillSettings;
import org.guavagw.internal.billing.IntentOutcome;
import org.guavagw.internal.billing.JournalId;
import org.guavagw.internal.billing.PendingBillIntent;
import org.guavagw.internal.billing.UnbilledState;
import org.guavagw.internal.time.Clocks;
import org.guavagw.standins.table.FaultyTableService;
import org.guavagw.standins.table.InMemoryTableService;

/**
 * Bills a steady load on several entries that share one store, and measures how long answers wait
 * for their intents. Confined to one thread, except for the histogram and the counter.
 */
final class IntentWaitBench {
  private static final String SEGMENT_TABLE = "bill_segment";
  private static final long MAX_RECORDED_MICROS = TimeUnit.SECONDS.toMicros(60);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long FAULT_SEED = 1;
  private static final Duration ANSWER_TIME = Duration.ofMillis(500);
  private static final Duration DEFER_AFTER = Duration.ofSeconds(30);
  private static final Duration FLUSH_LIMIT = Duration.ofSeconds(30);
  private static final int RECORDS_PER_SEGMENT = 500;
  private static final int MAX_UNBILLED = 100_000;

  private final Histogram waitMicros =
      new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
  private final AtomicInteger deferred = new AtomicInteger();
  private final Deque<InFlightRequest> inFlight = new ArrayDeque<>();
  private final List<BillRecorder> recorders = new ArrayList<>();
  private final FaultyTableService table;
  private final BillingBenchOptions options;

  IntentWaitBench(BillingBenchOptions options) {
    this.options = options;
    this.table = new FaultyTableService(new InMemoryTableService(), FAULT_SEED);
    table.faults().slow(Duration.ofMillis(options.commitMs()));
    BillSettings settings =
        new BillSettings(options.writesPerSecond(), RECORDS_PER_SEGMENT, MAX_UNBILLED, DEFER_AFTER);
    for (int i = 0; i < options.entries(); i++) {
      JournalId journal = new JournalId("bench-" + i, 1, 0);
      recorders.add(new BillRecorder(table, journal, settings, options::entries, Clocks.system()));
    }
  }

  IntentWaitResult run() throws InterruptedException {
    recorders.forEach(BillRecorder::start);
    int requests = options.requestsPerSecond() * options.seconds();
    long start = System.nanoTime();
    for (int i = 0; i < requests; i++) {
      waitUntil(start + i * TimeUnit.SECONDS.toNanos(1) / options.requestsPerSecond());
      settleDue(System.nanoTime() - ANSWER_TIME.toNanos());
      openIntent(i);
    }
    settleDue(Long.MAX_VALUE);
    boolean written = true;
    for (BillRecorder recorder : recorders) {
      written &= recorder.flush(FLUSH_LIMIT);
    }
    double seconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
    recorders.forEach(BillRecorder::close);
    return result(requests, seconds, written);
  }

  private static void waitUntil(long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = nanos - System.nanoTime();
    }
  }

  private void openIntent(int number) {
    BillRecorder recorder = recorders.get(number % recorders.size());
    long opened = System.nanoTime();
    PendingBillIntent intent = recorder.open(BillCpuCost.intentRecord(number));
    CompletableFuture<Void> recorded =
        intent.durable().thenAccept(outcome -> recordWait(outcome, System.nanoTime() - opened));
    inFlight.addLast(new InFlightRequest(recorder, number, opened, recorded));
  }

  private void recordWait(IntentOutcome outcome, long waitedNanos) {
    if (!(outcome instanceof IntentOutcome.Durable)) {
      deferred.incrementAndGet();
      return;
    }
    waitMicros.recordValue(
        Math.min(MAX_RECORDED_MICROS, TimeUnit.NANOSECONDS.toMicros(waitedNanos)));
  }

  private void settleDue(long openedBefore) {
    while (!inFlight.isEmpty() && inFlight.peekFirst().openedNanos <= openedBefore) {
      InFlightRequest request = inFlight.removeFirst();
      request.recorder.settle(BillCpuCost.settlement(request.number));
    }
  }

  private IntentWaitResult result(int requests, double seconds, boolean written) {
    int segments = table.writes(SEGMENT_TABLE);
    int unwritten =
        recorders.stream()
            .map(BillRecorder::unbilled)
            .mapToInt(UnbilledState::pendingRecords)
            .sum();
    return new IntentWaitResult(
        options.entries(),
        requests,
        segments / seconds,
        2.0 * requests / segments,
        percentileMicros(50),
        percentileMicros(95),
        percentileMicros(99),
        waitMicros.getMaxValue(),
        deferred.get(),
        written ? 0 : unwritten);
  }

  private long percentileMicros(double percentile) {
    return waitMicros.getValueAtPercentile(percentile);
  }

  /** An in-flight request and the pending measurement of its intent. Immutable. */
  private record InFlightRequest(
      BillRecorder recorder, int number, long openedNanos, CompletableFuture<Void> recorded) {}
}
