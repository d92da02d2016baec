package org.guavagw.cli.bench.billing;

import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Measures the CPU time and memory of a bill and the wait for its intent, and calculates the write
 * rates at other scales. Stateless and thread-safe.
 */
public final class BillingBench {
  private static final int EXIT_OK = 0;
  private static final int EXIT_INCOMPLETE = 1;
  private static final int EXIT_USAGE = 2;
  private static final int[] FORECAST_WRITERS = {8, 14, 64, 350};
  private static final double MICROS_PER_MS = 1_000;

  private BillingBench() {}

  /** Runs the bench; returns 0 if all bills were written, 1 if not, and 2 for invalid usage. */
  public static int run(String... args) {
    BillingBenchOptions options = new BillingBenchOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      return EXIT_USAGE;
    }
    try {
      return measure(System.out, options);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_INCOMPLETE;
    }
  }

  private static int measure(PrintStream out, BillingBenchOptions options)
      throws InterruptedException {
    double cpuMicros = BillCpuCost.measureMicros();
    print(
        out,
        "CPU time per bill: %.2f us, %.0f bills per second on one core",
        cpuMicros,
        TimeUnit.SECONDS.toMicros(1) / cpuMicros);
    print(out, "heap per pending bill: %d bytes", PendingBillMemory.measureBytes());
    IntentWaitResult result = new IntentWaitBench(options).run();
    print(
        out,
        "%d entries, %d requests: %.0f segments/s of %.1f records",
        result.entries(),
        result.requests(),
        result.segmentsPerSecond(),
        result.recordsPerSegment());
    print(
        out,
        "wait for the intent: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms",
        result.p50Micros() / MICROS_PER_MS,
        result.p95Micros() / MICROS_PER_MS,
        result.p99Micros() / MICROS_PER_MS,
        result.maxMicros() / MICROS_PER_MS);
    print(out, "deferred %d, unwritten %d", result.deferred(), result.unwritten());
    for (int writers : FORECAST_WRITERS) {
      forecast(out, options, writers);
    }
    return result.unwritten() == 0 ? EXIT_OK : EXIT_INCOMPLETE;
  }

  private static void forecast(PrintStream out, BillingBenchOptions options, int writers) {
    WriteForecast f =
        WriteForecast.of(
            writers, options.writesPerSecond(), options.requestsPerSecond(), options.commitMs());
    print(
        out,
        "calculated for %d writers: %.0f writes/s, one per %.0f ms, mean wait %.0f ms, "
            + "%.1f records per write",
        f.writers(),
        f.writesPerSecond(),
        f.intervalMs(),
        f.meanWaitMs(),
        f.recordsPerWrite());
  }

  @com.google.errorprone.annotations.FormatMethod
  private static void print(PrintStream out, String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values));
  }
}
