package org.guavagw.cli.bench.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Reads counters at every tick and keeps the highest rates. Used by one thread. */
final class PeakMeter {
  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final BenchCluster cluster;
  private final Map<BenchEntry, Long> lastBytes = new HashMap<>();
  private long lastCalls;
  private long lastNs = System.nanoTime();
  private double peakEntryBytes;
  private double peakMeanBytes;
  private double peakTableCalls;

  PeakMeter(BenchCluster cluster) {
    this.cluster = cluster;
    cluster.entries().forEach(e -> lastBytes.put(e, e.bytes()));
    lastCalls = tableCalls();
  }

  /** Highest rates in one window since the start. */
  Peaks peaks() {
    return new Peaks(peakEntryBytes, peakMeanBytes, peakTableCalls);
  }

  /** Lets some windows pass. */
  void watch(int windows) {
    for (int i = 0; i < windows; i++) {
      Pauses.pause(WINDOW);
      tick();
    }
  }

  /** Ends a window if it is full. */
  void tickIfDue() {
    if (System.nanoTime() - lastNs >= WINDOW.toNanos()) {
      tick();
    }
  }

  private void tick() {
    double seconds = (System.nanoTime() - lastNs) / (double) WINDOW.toNanos();
    lastNs = System.nanoTime();
    double sum = 0;
    for (BenchEntry entry : cluster.entries()) {
      long bytes = entry.bytes();
      double rate = (bytes - lastBytes.getOrDefault(entry, 0L)) / seconds;
      lastBytes.put(entry, bytes);
      sum += rate;
      peakEntryBytes = Math.max(peakEntryBytes, rate);
    }
    peakMeanBytes = Math.max(peakMeanBytes, sum / cluster.entries().size());
    long calls = tableCalls();
    peakTableCalls = Math.max(peakTableCalls, (calls - lastCalls) / seconds);
    lastCalls = calls;
  }

  private long tableCalls() {
    return cluster.entries().stream()
        .flatMap(e -> e.tables().counts().values().stream())
        .mapToLong(Long::longValue)
        .sum();
  }

  /** Highest rates a second: of any entry, of the mean entry, and of calls to tables. Immutable. */
  record Peaks(double entryBytes, double meanEntryBytes, double tableCalls) {}
}
