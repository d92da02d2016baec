package org.guavagw.cli.bench.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All counters of a cluster at one moment. Immutable. */
record Snapshot(long atNs, long processorNs, Map<String, Long> traffic, Map<String, Long> tables) {
  static Snapshot of(List<BenchEntry> entries) {
    Map<String, Long> traffic = new TreeMap<>();
    Map<String, Long> tables = new TreeMap<>();
    for (BenchEntry entry : entries) {
      entry.traffic().forEach((k, v) -> traffic.merge(k, v, Long::sum));
      entry.tables().counts().forEach((k, v) -> tables.merge(k, v, Long::sum));
    }
    return new Snapshot(System.nanoTime(), ProcessorTime.entriesNs(), traffic, tables);
  }
}
