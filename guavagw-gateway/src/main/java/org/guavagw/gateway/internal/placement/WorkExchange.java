package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.Hubs;
import org.guavagw.gateway.internal.peers.WorkReport;

/**
 * Tells the other entries of the data centre what this one has under way at backend servers.
 *
 * <p>A few entries tell one another. Many tell their hub, which tells each of them the sum of the
 * others, so that messages grow with the number of entries and not with its square. Traffic thread
 * only.
 */
public final class WorkExchange {
  /** How often {@link #tick} is called: a small part of the time that a request takes. */
  public static final Duration PERIOD = Duration.ofMillis(100);

  /** Pause between two reports to or from a hub: two hops are still shorter than a prompt. */
  private static final Duration HUB_PAUSE = Duration.ofMillis(190);

  /** A report that did not change is sent again before receivers forget it. */
  private static final Duration REFRESH_PERIOD = NeighbourWork.MAX_AGE.dividedBy(2);

  private static final WorkReport NOTHING = new WorkReport(Map.of());

  private final LoadBook loads;
  private final Hubs hubs;
  private final Supplier<List<String>> neighbours;
  private final BiConsumer<String, WorkReport> send;
  private final Map<String, Sent> sent = new HashMap<>();

  /**
   * An exchange.
   *
   * @param neighbours the other entries of the data centre
   * @param send sends a report to one of them
   */
  public WorkExchange(
      LoadBook loads,
      Hubs hubs,
      Supplier<List<String>> neighbours,
      BiConsumer<String, WorkReport> send) {
    this.loads = loads;
    this.hubs = hubs;
    this.neighbours = neighbours;
    this.send = send;
  }

  /** Sends what is due. */
  public void tick(long nowNanos) {
    List<String> receivers = neighbours.get();
    sent.keySet().retainAll(receivers);
    WorkReport own = loads.report();
    if (!hubs.inUse()) {
      receivers.forEach(r -> sendIfDue(r, own, Duration.ZERO, nowNanos));
      return;
    }
    Optional<String> hub = hubs.current();
    if (hub.isPresent()) {
      sendIfDue(hub.get(), own, HUB_PAUSE, nowNanos);
    } else {
      receivers.forEach(
          r -> sendIfDue(r, own.plus(loads.neighboursWithout(r)), HUB_PAUSE, nowNanos));
    }
  }

  private void sendIfDue(String receiver, WorkReport report, Duration pause, long nowNanos) {
    Sent last = sent.get(receiver);
    if (last == null && report.equals(NOTHING)) {
      return;
    }
    if (last != null) {
      long elapsed = nowNanos - last.nanos();
      boolean changed = !report.equals(last.report());
      boolean refresh = !report.equals(NOTHING) && elapsed >= REFRESH_PERIOD.toNanos();
      if (!refresh && !(changed && elapsed >= pause.toNanos())) {
        return;
      }
    }
    sent.put(receiver, new Sent(report, nowNanos));
    send.accept(receiver, report);
  }

  /** A report and when it was sent. Immutable. */
  private record Sent(WorkReport report, long nanos) {}
}
