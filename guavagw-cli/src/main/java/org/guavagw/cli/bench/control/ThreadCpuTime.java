package org.guavagw.cli.bench.control;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.List;

/** Reads the CPU time of the threads of the entries. Stateless. */
final class ThreadCpuTime {
  private static final List<String> PREFIXES = List.of("control-", "peer-", "platform-");

  private ThreadCpuTime() {}

  /** Returns the CPU time in nanoseconds of the live threads of the entries. */
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
