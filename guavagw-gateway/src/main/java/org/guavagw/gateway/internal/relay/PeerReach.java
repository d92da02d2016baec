package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.peers.ReachReport;

/**
 * Exchanges with other entries which services each of them can't reach. Traffic thread only.
 *
 * <p>Invariant: a report counts for {@link #VALIDITY} only, so that an entry that is silent is not
 * taken for cut off for long.
 */
final class PeerReach {
  /** How long a report counts. */
  static final Duration VALIDITY = Duration.ofMillis(2500);

  /** How often an entry that is cut off repeats its report; twice within its validity. */
  static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);

  private final Consumer<ReachReport> send;
  private final Map<String, Received> received = new HashMap<>();
  private Set<String> sent = Set.of();
  private long sentNanos;

  /**
   * Creates an instance that takes all entries for connected.
   *
   * @param send sends a report to all other entries
   */
  PeerReach(Consumer<ReachReport> send) {
    this.send = send;
  }

  /** Reports the services that this entry can't reach, if they changed or the report is old. */
  void report(Set<String> unreachable, long nowNanos) {
    boolean old = !sent.isEmpty() && nowNanos - sentNanos >= REFRESH_PERIOD.toNanos();
    if (old || !sent.equals(unreachable)) {
      sent = Set.copyOf(unreachable);
      sentNanos = nowNanos;
      send.accept(new ReachReport(sent));
    }
  }

  /** Takes note of the report of another entry. */
  void onReport(String entry, ReachReport report, long nowNanos) {
    if (report.unreachableServices().isEmpty()) {
      received.remove(entry);
    } else {
      received.put(entry, new Received(new HashSet<>(report.unreachableServices()), nowNanos));
    }
  }

  /** Returns whether an entry has reported of late that it can't reach a service. */
  boolean isCutOff(String entry, String service, long nowNanos) {
    Received last = received.get(entry);
    return last != null && last.isValid(nowNanos) && last.services().contains(service);
  }

  /** Forgets reports that no longer count. */
  void expire(long nowNanos) {
    received.values().removeIf(r -> !r.isValid(nowNanos));
  }

  /** A report and the monotonic time at which it came. Immutable. */
  private record Received(Set<String> services, long nanos) {
    boolean isValid(long nowNanos) {
      return nowNanos - nanos < VALIDITY.toNanos();
    }
  }
}
