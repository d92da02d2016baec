package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkReport.ServerWork;

/**
 * The latest work reports of other entries and their sum for each backend server.
 *
 * <p>Invariant: the report of an entry that stopped reporting expires. Not thread-safe.
 */
final class PeerWorkReports {
  /** Age at which a report expires; reports normally arrive several times a second. */
  static final Duration MAX_AGE = Duration.ofMillis(1500);

  private static final ServerWork NONE = new ServerWork(0, 0);

  private final Map<String, Received> reports = new HashMap<>();
  private Map<String, ServerWork> sums = Map.of();

  void onReport(String entry, WorkReport report, long nowNanos) {
    reports.put(entry, new Received(report, nowNanos));
    refreshSums(nowNanos);
  }

  void refreshSums(long nowNanos) {
    reports.values().removeIf(r -> nowNanos - r.nanos() > MAX_AGE.toNanos());
    sums = sumOf(name -> true).servers();
  }

  /** Returns the sum of the reports of the matching entries. */
  WorkReport sumOf(Predicate<String> included) {
    return reports.entrySet().stream()
        .filter(e -> included.test(e.getKey()))
        .map(e -> e.getValue().report())
        .reduce(new WorkReport(Map.of()), WorkReport::plus);
  }

  ServerWork forServer(String incarnation) {
    return sums.getOrDefault(incarnation, NONE);
  }

  /** A report and its monotonic time of arrival. Immutable. */
  private record Received(WorkReport report, long nanos) {}
}
