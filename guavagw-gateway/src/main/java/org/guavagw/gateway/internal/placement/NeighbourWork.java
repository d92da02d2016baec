package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkReport.ServerWork;

/**
 * What other entries said they have under way at backend servers.
 *
 * <p>Invariant: an entry that fell silent counts for nothing after a while. Not thread-safe.
 */
final class NeighbourWork {
  /** Reports come several times a second; an entry without any for this long has stopped. */
  static final Duration MAX_AGE = Duration.ofMillis(1500);

  private static final ServerWork NONE = new ServerWork(0, 0);

  private final Map<String, Received> reports = new HashMap<>();
  private Map<String, ServerWork> sums = Map.of();

  void onReport(String entry, WorkReport report, long nowNanos) {
    reports.put(entry, new Received(report, nowNanos));
    sumUp(nowNanos);
  }

  void sumUp(long nowNanos) {
    reports.values().removeIf(r -> nowNanos - r.nanos() > MAX_AGE.toNanos());
    sums = sumOf(name -> true).servers();
  }

  /** What some of the entries have under way. */
  WorkReport sumOf(Predicate<String> included) {
    return reports.entrySet().stream()
        .filter(e -> included.test(e.getKey()))
        .map(e -> e.getValue().report())
        .reduce(new WorkReport(Map.of()), WorkReport::plus);
  }

  ServerWork at(String incarnation) {
    return sums.getOrDefault(incarnation, NONE);
  }

  /** A report and when it came. Immutable. */
  private record Received(WorkReport report, long nanos) {}
}
