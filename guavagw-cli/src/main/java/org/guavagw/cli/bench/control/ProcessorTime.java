package org.guavagw.cli.bench.control;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.List;

/** Reads the processor time of the threads of entries. Stateless. */
final class ProcessorTime {
  private static final List<String> PREFIXES = List.of("control-", "peer-", "platform-");

  private ProcessorTime() {}

  /** Nanoseconds used so far by live threads of entries. */
  static long entriesNs() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (info != null && PREFIXES.stream().anyMatch(info.getThreadName()::startsWith)) {
        sum += Math.max(0, threads.getThreadCpuTime(info.getThreadId()));
      }
    }
    return sum;
  }
}
