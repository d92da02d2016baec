package org.guavagw.cli.bench.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Samples counters in windows and keeps the peak rates. Used by one thread. */
final class PeakRateMeter {
  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final BenchCluster cluster;
  private final Map<BenchEntry, Long> lastBytes = new HashMap<>();
  private long lastCalls;
  private long lastNs = System.nanoTime();
  private double peakEntryBytes;
  private double peakMeanBytes;
  private double peakTableCalls;

  PeakRateMeter(BenchCluster cluster) {
    this.cluster = cluster;
    cluster.entries().forEach(e -> lastBytes.put(e, e.bytes()));
    lastCalls = tableCalls();
  }

  /** Returns the peak rates of all windows so far. */
  Peaks peaks() {
    return new Peaks(peakEntryBytes, peakMeanBytes, peakTableCalls);
  }

  /** Samples a number of windows, blocking until they end. */
  void sampleWindows(int windows) {
    for (int i = 0; i < windows; i++) {
      Pause.sleep(WINDOW);
      sample();
    }
  }

  /** Samples the counters if the current window has ended. */
  void sampleIfDue() {
    if (System.nanoTime() - lastNs >= WINDOW.toNanos()) {
      sample();
    }
  }

  private void sample() {
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

  /** Peak rates per second: bytes of one entry, mean bytes per entry, table calls. Immutable. */
  record Peaks(double entryBytes, double meanEntryBytes, double tableCalls) {}
}
