package org.guavagw.cli.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.guavagw.cli.bench.control.SizeResult.Quantiles;

/** Measures one size: steady state first, then changes with and without the platform. */
final class SizeRound {
  private static final Duration WARM_UP = Duration.ofSeconds(15);
  private static final long MAX_PAUSE_MS = 1_000;
  private static final double MEGABYTE = 1024.0 * 1024.0;

  private final BenchScale scale;
  private final Duration steady;
  private final int changes;
  private final SplittableRandom random;

  SizeRound(BenchScale scale, Duration steady, int changes, long seed) {
    this.scale = scale;
    this.steady = steady;
    this.changes = changes;
    this.random = new SplittableRandom(seed);
  }

  SizeResult run() {
    double heapBefore = heapMegabytes();
    try (BenchCluster cluster = new BenchCluster(scale)) {
      cluster.settle();
      Pauses.pause(WARM_UP);
      Snapshot before = Snapshot.of(cluster.entries());
      Pauses.pause(steady);
      Snapshot after = Snapshot.of(cluster.entries());
      Map<String, Double> perEntry = rates(before, after, before.traffic(), after.traffic());
      double seconds = seconds(before, after);
      addSums(perEntry, seconds, before, after);
      perEntry.put("heap MB", (heapMegabytes() - heapBefore) / scale.entries());
      Quantiles with = changes(cluster, true, perEntry);
      Quantiles without = changes(cluster, false, new TreeMap<>());
      Map<String, Double> calls = rates(before, after, before.tables(), after.tables());
      calls.replaceAll((k, v) -> v * scale.entries());
      return new SizeResult(scale, perEntry, calls, with, without);
    }
  }

  private Map<String, Double> rates(
      Snapshot before, Snapshot after, Map<String, Long> from, Map<String, Long> to) {
    Map<String, Double> rates = new TreeMap<>();
    double seconds = seconds(before, after);
    to.forEach(
        (name, n) ->
            rates.put(name, (n - from.getOrDefault(name, 0L)) / seconds / scale.entries()));
    return rates;
  }

  private void addSums(
      Map<String, Double> perEntry, double seconds, Snapshot before, Snapshot after) {
    for (String what : List.of("bytes", "messages")) {
      double sum =
          perEntry.entrySet().stream()
              .filter(e -> e.getKey().contains("." + what + "."))
              .mapToDouble(Map.Entry::getValue)
              .sum();
      perEntry.put("all " + what + "/s", sum);
    }
    double processorS =
        (after.processorNs() - before.processorNs()) / (double) TimeUnit.SECONDS.toNanos(1);
    perEntry.put("core %", 100 * processorS / seconds / scale.entries());
  }

  private Quantiles changes(BenchCluster cluster, boolean platform, Map<String, Double> perEntry) {
    long bytesBefore = configBytes(cluster);
    List<Double> samples = new ArrayList<>();
    for (int i = 0; i < changes; i++) {
      Pauses.pause(Duration.ofMillis(random.nextLong(MAX_PAUSE_MS)));
      BenchEntry reader = cluster.entries().get(random.nextInt(scale.entries()));
      samples.add(platform ? cluster.changeMs() : cluster.changeWithoutPlatformMs(reader));
    }
    double bytes = configBytes(cluster) - bytesBefore;
    perEntry.put("bytes per change", bytes / changes / scale.entries());
    Collections.sort(samples);
    return new Quantiles(
        samples.size(), quantile(samples, 0.5), quantile(samples, 0.99), quantile(samples, 1));
  }

  private static long configBytes(BenchCluster cluster) {
    return Snapshot.of(cluster.entries()).traffic().entrySet().stream()
        .filter(e -> e.getKey().matches("peer\\.(sent|received)\\.bytes\\.(cn|cp|cr)"))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  private static double quantile(List<Double> sorted, double share) {
    return sorted.get((int) Math.ceil(share * sorted.size()) - 1);
  }

  private static double seconds(Snapshot before, Snapshot after) {
    return (after.atNs() - before.atNs()) / (double) TimeUnit.SECONDS.toNanos(1);
  }

  private static double heapMegabytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE;
  }
}
