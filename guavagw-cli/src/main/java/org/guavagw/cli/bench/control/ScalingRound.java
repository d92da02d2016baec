package org.guavagw.cli.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.guavagw.cli.bench.control.ScalingResult.Quantiles;

/** Measures one scale: the steady state, then changes with and without the platform. */
final class ScalingRound {
  private static final Duration WARM_UP = Duration.ofSeconds(15);
  private static final long MAX_PAUSE_MS = 1_000;
  private static final double MEGABYTE = 1024.0 * 1024.0;

  private final BenchScale scale;
  private final Duration steady;
  private final int changes;
  private final SplittableRandom random;

  ScalingRound(BenchScale scale, Duration steady, int changes, long seed) {
    this.scale = scale;
    this.steady = steady;
    this.changes = changes;
    this.random = new SplittableRandom(seed);
  }

  ScalingResult run() {
    double heapBefore = heapMegabytes();
    try (BenchCluster cluster = new BenchCluster(scale)) {
      cluster.awaitConvergence();
      Pause.sleep(WARM_UP);
      CounterSnapshot before = CounterSnapshot.of(cluster.entries());
      Pause.sleep(steady);
      CounterSnapshot after = CounterSnapshot.of(cluster.entries());
      Map<String, Double> perEntry = rates(before, after, before.traffic(), after.traffic());
      double seconds = seconds(before, after);
      addSums(perEntry, seconds, before, after);
      perEntry.put("heap MB", (heapMegabytes() - heapBefore) / scale.entries());
      Quantiles with = measureChanges(cluster, true, perEntry);
      Quantiles without = measureChanges(cluster, false, new TreeMap<>());
      Map<String, Double> calls = rates(before, after, before.tables(), after.tables());
      calls.replaceAll((k, v) -> v * scale.entries());
      return new ScalingResult(scale, perEntry, calls, with, without);
    }
  }

  private Map<String, Double> rates(
      CounterSnapshot before, CounterSnapshot after, Map<String, Long> from, Map<String, Long> to) {
    Map<String, Double> rates = new TreeMap<>();
    double seconds = seconds(before, after);
    to.forEach(
        (name, n) ->
            rates.put(name, (n - from.getOrDefault(name, 0L)) / seconds / scale.entries()));
    return rates;
  }

  private void addSums(
      Map<String, Double> perEntry, double seconds, CounterSnapshot before, CounterSnapshot after) {
    for (String unit : List.of("bytes", "messages")) {
      double sum =
          perEntry.entrySet().stream()
              .filter(e -> e.getKey().contains("." + unit + "."))
              .mapToDouble(Map.Entry::getValue)
              .sum();
      perEntry.put("all " + unit + "/s", sum);
    }
    double cpuSeconds = (after.cpuNs() - before.cpuNs()) / (double) TimeUnit.SECONDS.toNanos(1);
    perEntry.put("core %", 100 * cpuSeconds / seconds / scale.entries());
  }

  private Quantiles measureChanges(
      BenchCluster cluster, boolean platform, Map<String, Double> perEntry) {
    long bytesBefore = configBytes(cluster);
    List<Double> samples = new ArrayList<>();
    for (int i = 0; i < changes; i++) {
      Pause.sleep(Duration.ofMillis(random.nextLong(MAX_PAUSE_MS)));
      BenchEntry reader = cluster.entries().get(random.nextInt(scale.entries()));
      samples.add(
          platform ? cluster.measureChangeMs() : cluster.measureChangeWithoutPlatformMs(reader));
    }
    double bytes = configBytes(cluster) - bytesBefore;
    perEntry.put("bytes per change", bytes / changes / scale.entries());
    Collections.sort(samples);
    return new Quantiles(
        samples.size(), quantile(samples, 0.5), quantile(samples, 0.99), quantile(samples, 1));
  }

  private static long configBytes(BenchCluster cluster) {
    return CounterSnapshot.of(cluster.entries()).traffic().entrySet().stream()
        .filter(e -> e.getKey().matches("peer\\.(sent|received)\\.bytes\\.(cn|cp|cr)"))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  private static double quantile(List<Double> sorted, double share) {
    return sorted.get((int) Math.ceil(share * sorted.size()) - 1);
  }

  private static double seconds(CounterSnapshot before, CounterSnapshot after) {
    return (after.atNs() - before.atNs()) / (double) TimeUnit.SECONDS.toNanos(1);
  }

  private static double heapMegabytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE;
  }
}
