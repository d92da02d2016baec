package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.Hubs;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.WorkReport;

/**
 * Tells other entries what this one has under way at backend servers.
 *
 * <p>Answers long prompts that hold up everything behind them at a backend server, whichever entry
 * sent them. A few entries all tell one another. Of many, each tells the first of its data centre,
 * which tells each of the others there the sum of the rest, and the first entries of other data
 * centres what its own has under way; messages so grow with the number of entries and not with its
 * square. Traffic thread only.
 */
public final class WorkExchange {
  /** How often {@link #tick} is called: a small part of the time that a request takes. */
  public static final Duration PERIOD = Duration.ofMillis(100);

  /** Up to so many entries all tell one another, which costs little. */
  private static final int MAX_MESH = 12;

  /** Pause between two reports to or from the first entry: two hops are shorter than a prompt. */
  private static final Duration FIRST_PAUSE = Duration.ofMillis(190);

  /** The same between data centres, where bytes are dear and fewer requests go. */
  private static final Duration CROSS_PAUSE = Duration.ofMillis(290);

  /** A report that did not change is sent again before receivers forget it. */
  private static final Duration REFRESH_PERIOD = NeighbourWork.MAX_AGE.dividedBy(2);

  private static final WorkReport NOTHING = new WorkReport(Map.of());

  private final LoadBook loads;
  private final Supplier<Members> members;
  private final Hubs hubs;
  private final BiConsumer<String, WorkReport> send;
  private final Map<String, Sent> sent = new HashMap<>();

  /**
   * An exchange.
   *
   * @param send sends a report to an entry
   */
  public WorkExchange(
      LoadBook loads, Supplier<Members> members, Hubs hubs, BiConsumer<String, WorkReport> send) {
    this.loads = loads;
    this.members = members;
    this.hubs = hubs;
    this.send = send;
  }

  /** Sends what is due. */
  public void tick(long nowNanos) {
    Members known = members.get();
    WorkReport own = loads.report();
    if (known.all().size() <= MAX_MESH) {
      tellAll(known, own, nowNanos);
      return;
    }
    Optional<String> first = hubs.first();
    if (first.filter(name -> !name.equals(known.self())).isPresent()) {
      sendIfDue(first.get(), own, FIRST_PAUSE, nowNanos);
    } else if (first.isPresent()) {
      tellAsFirst(known, own, nowNanos);
    }
  }

  private void tellAll(Members known, WorkReport own, long nowNanos) {
    Set<String> near = known.neighbours();
    for (Member other : known.others()) {
      boolean isNear = near.contains(other.name());
      sendIfDue(other.name(), own, isNear ? Duration.ZERO : CROSS_PAUSE, nowNanos);
    }
  }

  private void tellAsFirst(Members known, WorkReport own, long nowNanos) {
    Set<String> near = known.neighbours();
    for (String neighbour : near) {
      WorkReport rest = own.plus(loads.ofEntries(name -> !name.equals(neighbour)));
      sendIfDue(neighbour, rest, FIRST_PAUSE, nowNanos);
    }
    WorkReport ofDataCentre = own.plus(loads.ofEntries(near::contains));
    for (Member first : known.firstElsewhere()) {
      sendIfDue(first.name(), ofDataCentre, CROSS_PAUSE, nowNanos);
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
