package org.guavagw.cli.bench.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All counters of a cluster at one point in time. Immutable. */
record CounterSnapshot(long atNs, long cpuNs, Map<String, Long> traffic, Map<String, Long> tables) {
  static CounterSnapshot of(List<BenchEntry> entries) {
    Map<String, Long> traffic = new TreeMap<>();
    Map<String, Long> tables = new TreeMap<>();
    for (BenchEntry entry : entries) {
      entry.traffic().forEach((k, v) -> traffic.merge(k, v, Long::sum));
      entry.tables().counts().forEach((k, v) -> tables.merge(k, v, Long::sum));
    }
    return new CounterSnapshot(System.nanoTime(), ThreadCpuTime.entriesNs(), traffic, tables);
  }
}
