package org.guavagw.gateway.internal.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.PeerMessenger;
import org.guavagw.gateway.internal.peers.SessionReport;
import org.guavagw.gateway.model.RolloutOrder;

/**
 * Reports to other entries which sessions are to stay on an old version in the first half of a
 * rollout, as later requests of a session may come to another entry. Confined to the traffic
 * thread.
 */
public final class SessionReporter {
  /** How often sessions are reported; short compared with the pause between two requests. */
  public static final Duration PERIOD = Duration.ofMillis(200);

  private final VersionSelector versions;
  private final Supplier<ControlView> view;
  private final Supplier<Members> members;
  private final PeerMessenger peers;
  private final Map<RolloutOrder, OptionalLong> reportedNanos = new HashMap<>();

  /** Creates a reporter, which takes note of what other entries report from now on. */
  public SessionReporter(
      VersionSelector versions,
      Supplier<ControlView> view,
      Supplier<Members> members,
      PeerMessenger peers,
      LongSupplier nanos) {
    this.versions = versions;
    this.view = view;
    this.members = members;
    this.peers = peers;
    peers.onMessage(
        SessionReport.class,
        (from, report) -> versions.onServedElsewhere(report, nanos.getAsLong()));
  }

  /** Reports the sessions served since the last call, and at first all. */
  public void tick(long nowNanos) {
    List<RolloutOrder> trials = versions.trials(view.get());
    reportedNanos.keySet().retainAll(trials);
    for (RolloutOrder order : trials) {
      versions.pinnedSince(order, lastReport(order)).forEach(this::send);
      reportedNanos.put(order, OptionalLong.of(nowNanos));
    }
  }

  private OptionalLong lastReport(RolloutOrder order) {
    return reportedNanos.getOrDefault(order, OptionalLong.empty());
  }

  private void send(String version, Set<String> sessions) {
    SessionReport report = new SessionReport(version, sessions);
    receivers(members.get()).forEach(entry -> peers.send(entry, report));
  }

  /** Returns all other entries, as sessions move between data centres, too. */
  static List<String> receivers(Members known) {
    return known.others().stream().map(Member::name).toList();
  }
}
