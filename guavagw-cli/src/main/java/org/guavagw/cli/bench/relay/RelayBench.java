package org.guavagw.cli.bench.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.cli.local.DeploymentConfig;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.cli.local.LocalDeployment;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Compares streams through an entry with direct streams from the engine stand-in. Both are measured
 * alternately in one run.
 */
public final class RelayBench {
  private static final int EXIT_USAGE = 2;
  private static final String MODEL = DeploymentConfig.LARGE;
  private static final int CLIENT_THREADS = 64;
  private static final int FIRST_TOKEN_TOKENS = 8;
  private static final int THROUGHPUT_TOKENS = 400;
  private static final long MAX_RECORDED_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final double NANOS_PER_MS = 1e6;

  @Option(name = "--rate", usage = "requests per second")
  private int rate = 500;

  @Option(name = "--seconds", usage = "duration of the measured phase")
  private int seconds = 10;

  @Option(name = "--streams", usage = "number of concurrent long streams in the throughput phase")
  private int streams = 16;

  @Option(name = "--first-token-ms", usage = "delay of the first token in the engine")
  private long firstTokenMs;

  @Option(name = "--json", usage = "print the report as one line of JSON at the end")
  private boolean asJson;

  private final AtomicLong failed = new AtomicLong();

  private RelayBench() {}

  /** Runs the bench and returns the exit code. */
  public static int run(String... args) {
    RelayBench bench = new RelayBench();
    CmdLineParser parser = new CmdLineParser(bench);
    try {
      parser.parseArgument(args);
      return bench.run(System.out);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      return EXIT_USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    }
  }

  private int run(PrintStream out) throws InterruptedException {
    DeploymentPlan plan = RelayPlan.of(Deployment.NILE_BASIN);
    OkHttpClient http =
        new OkHttpClient.Builder()
            .connectionPool(new ConnectionPool(CLIENT_THREADS, 1, TimeUnit.MINUTES))
            .build();
    try (LocalDeployment local = RelayPlan.start(plan)) {
      if (!local.awaitReady(Duration.ofSeconds(30))) {
        System.err.println("the entry did not become ready");
        return 1;
      }
      Duration delay = Duration.ofMillis(firstTokenMs);
      local.engines().values().forEach(e -> e.faults().delayAnswers(delay));
      int enginePort = local.engines().values().iterator().next().port();
      int entryPort = local.entries().get(0).entry().callerPort();
      String key = DeploymentConfig.keyOf(DeploymentConfig.teamName(0));
      StreamProbe direct = new StreamProbe(http, enginePort, MODEL + "@v1", key);
      StreamProbe relayed = new StreamProbe(http, entryPort, MODEL, key);
      RelayReport report = measure(direct, relayed);
      report.print(out);
      if (asJson) {
        out.println(new ObjectMapper().valueToTree(report));
      }
      return report.failed() == 0 ? 0 : 1;
    } finally {
      http.dispatcher().executorService().shutdown();
      http.connectionPool().evictAll();
    }
  }

  private RelayReport measure(StreamProbe direct, StreamProbe relayed) throws InterruptedException {
    measureFirstTokens(direct, relayed, Duration.ofSeconds(Math.max(3, seconds / 2)));
    failed.set(0);
    List<Histogram> times = measureFirstTokens(direct, relayed, Duration.ofSeconds(seconds));
    Histogram directTimes = times.get(0);
    Histogram relayedTimes = times.get(1);
    double directCpu = cpuNanosPerToken(direct);
    double relayedCpu = cpuNanosPerToken(relayed);
    return new RelayReport(
        rate,
        ms(directTimes, 50),
        ms(directTimes, 99),
        ms(relayedTimes, 50),
        ms(relayedTimes, 99),
        ms(relayedTimes, 50) - ms(directTimes, 50),
        ms(relayedTimes, 99) - ms(directTimes, 99),
        TimeUnit.SECONDS.toNanos(1) / Math.max(1, relayedCpu - directCpu),
        failed.get());
  }

  private static double ms(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }

  private List<Histogram> measureFirstTokens(
      StreamProbe direct, StreamProbe relayed, Duration length) throws InterruptedException {
    Histogram directTimes = new ConcurrentHistogram(MAX_RECORDED_NANOS, 3);
    Histogram relayedTimes = new ConcurrentHistogram(MAX_RECORDED_NANOS, 3);
    ExecutorService threads = Executors.newFixedThreadPool(CLIENT_THREADS);
    long interval = TimeUnit.SECONDS.toNanos(1) / rate;
    long start = System.nanoTime();
    long count = length.toNanos() / interval;
    for (int i = 0; i < count; i++) {
      int number = i;
      waitUntil(start + i * interval);
      threads.execute(() -> recordFirstToken(direct, directTimes, 2 * number));
      threads.execute(() -> recordFirstToken(relayed, relayedTimes, 2 * number + 1));
    }
    threads.shutdown();
    threads.awaitTermination(1, TimeUnit.MINUTES);
    return List.of(directTimes, relayedTimes);
  }

  private static void waitUntil(long nanos) {
    while (System.nanoTime() < nanos) {
      LockSupport.parkNanos(nanos - System.nanoTime());
    }
  }

  private void recordFirstToken(StreamProbe probe, Histogram times, int number) {
    try {
      StreamProbe.StreamTiming timing = probe.sendRequest(number, FIRST_TOKEN_TOKENS);
      times.recordValue(Math.min(MAX_RECORDED_NANOS, timing.firstTokenNanos()));
      failed.addAndGet(timing.complete() ? 0 : 1);
    } catch (IOException e) {
      failed.incrementAndGet();
    }
  }

  private double cpuNanosPerToken(StreamProbe probe) throws InterruptedException {
    OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    AtomicInteger number = new AtomicInteger();
    AtomicLong chunks = new AtomicLong();
    ExecutorService threads = Executors.newFixedThreadPool(streams);
    long deadline = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
    long cpu = system.getProcessCpuTime();
    List<Runnable> loops = new ArrayList<>();
    for (int i = 0; i < streams; i++) {
      loops.add(() -> streamUntil(probe, deadline, number, chunks));
    }
    loops.forEach(threads::execute);
    threads.shutdown();
    threads.awaitTermination(seconds + 30L, TimeUnit.SECONDS);
    return (double) (system.getProcessCpuTime() - cpu) / Math.max(1, chunks.get());
  }

  private void streamUntil(
      StreamProbe probe, long deadline, AtomicInteger number, AtomicLong chunks) {
    while (System.nanoTime() < deadline) {
      try {
        chunks.addAndGet(probe.sendRequest(number.incrementAndGet(), THROUGHPUT_TOKENS).chunks());
      } catch (IOException e) {
        failed.incrementAndGet();
        return;
      }
    }
  }
}
