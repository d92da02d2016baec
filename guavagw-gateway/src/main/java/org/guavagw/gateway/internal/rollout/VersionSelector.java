package org.guavagw.gateway.internal.rollout;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.control.Orders.ObservedRollout;
import org.guavagw.gateway.internal.peers.SessionReport;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutState;
import org.guavagw.gateway.model.RolloutStatus;

/**
 * Selects the backend servers of a service that have the right version for a request.
 *
 * <p>During a rollout sessions keep their version in the first half, move at most once and only to
 * the new version in the second half, and never use a version that was rolled back. Confined to the
 * traffic thread.
 */
public final class VersionSelector {
  private final SessionVersions sessions;
  private final RolloutProgress progress;
  private final RolloutSchedule schedule;

  /**
   * Creates a selector.
   *
   * @param sessionTimeout idle time after which a session ends
   * @param exposureLimit share of the requests that a bad version may get
   */
  public VersionSelector(Duration sessionTimeout, double exposureLimit, RolloutProgress progress) {
    this.sessions = new SessionVersions(sessionTimeout);
    this.progress = progress;
    this.schedule = new RolloutSchedule(exposureLimit);
  }

  /** Returns the backend servers that may serve the request, all of one version where possible. */
  public List<BackendServer> select(
      ControlView view, String service, String session, List<BackendServer> servers, long now) {
    Optional<ObservedRollout> observed = Optional.ofNullable(view.orders().rollouts().get(service));
    Optional<RolloutStatus> status = Optional.ofNullable(view.orders().statuses().get(service));
    if (observed.isEmpty()) {
      return status.map(s -> afterRollout(s, servers)).orElse(servers);
    }
    RolloutOrder order = observed.get().order();
    if (progress.isRejected(order)) {
      return exclude(order.toVersion(), servers);
    }
    Optional<RolloutStatus> current = progress.statusOf(order, status);
    if (current.isPresent() && current.get().state() != RolloutState.RUNNING) {
      return afterRollout(current.get(), servers);
    }
    return duringRollout(order, progress.elapsed(observed.get(), current), session, servers, now);
  }

  /** Records the version that served a session. */
  public void onServed(String session, String version, long nowNanos) {
    sessions.remember(session, version, true, nowNanos);
  }

  /** Records the version on which another entry served sessions. */
  void onServedElsewhere(SessionReport report, long nowNanos) {
    report.sessions().forEach(s -> sessions.remember(s, report.version(), false, nowNanos));
  }

  /** Returns the orders of the rollouts in whose present phase sessions keep their versions. */
  List<RolloutOrder> trials(ControlView view) {
    return view.orders().rollouts().values().stream()
        .filter(observed -> isTrial(view, observed))
        .map(ObservedRollout::order)
        .toList();
  }

  private boolean isTrial(ControlView view, ObservedRollout observed) {
    RolloutOrder order = observed.order();
    Optional<RolloutStatus> stored =
        Optional.ofNullable(view.orders().statuses().get(order.service()));
    Optional<RolloutStatus> current = progress.statusOf(order, stored);
    return !progress.isRejected(order)
        && current.map(RolloutStatus::state).orElse(RolloutState.RUNNING) == RolloutState.RUNNING
        && !RolloutSchedule.sessionsMayMove(progress.elapsed(observed, current), order.within());
  }

  /**
   * Returns the sessions by version that this entry served on another version than the new one, and
   * that would be on the new one if they had begun later.
   *
   * @param sinceNanos sessions served after this time; empty for all
   */
  Map<String, Set<String>> pinnedSince(RolloutOrder order, OptionalLong sinceNanos) {
    Map<String, Set<String>> pinned = new HashMap<>();
    sessions.forEachServedHere(
        sinceNanos,
        (session, version) -> {
          if (!version.equals(order.toVersion()) && schedule.isOnTrial(position(order, session))) {
            pinned.computeIfAbsent(version, v -> new HashSet<>()).add(session);
          }
        });
    return pinned;
  }

  private static List<BackendServer> afterRollout(
      RolloutStatus status, List<BackendServer> servers) {
    return switch (status.state()) {
      case RUNNING -> servers;
      case DONE -> prefer(status.toVersion(), servers);
      case ROLLED_BACK -> exclude(status.toVersion(), servers);
    };
  }

  private List<BackendServer> duringRollout(
      RolloutOrder order, Duration elapsed, String session, List<BackendServer> servers, long now) {
    Optional<String> lastVersion = sessions.versionOf(session, now);
    boolean isOnNew = lastVersion.filter(order.toVersion()::equals).isPresent();
    boolean mayMove = RolloutSchedule.sessionsMayMove(elapsed, order.within());
    boolean inNewShare =
        position(order, session) < schedule.share(elapsed, order.within())
            && (lastVersion.isEmpty() || mayMove);
    if (isOnNew || inNewShare) {
      return prefer(order.toVersion(), servers);
    }
    List<BackendServer> old = exclude(order.toVersion(), servers);
    return old.isEmpty() && mayMove ? servers : old;
  }

  /** Maps a session to a number from 0 to 1, the same on every entry. */
  private static double position(RolloutOrder order, String session) {
    long hash =
        Hashing.murmur3_128()
            .newHasher()
            .putString(order.toVersion(), StandardCharsets.UTF_8)
            .putString(session, StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return (hash >>> 11) / (double) (1L << 53);
  }

  private static List<BackendServer> prefer(String version, List<BackendServer> servers) {
    List<BackendServer> preferred =
        servers.stream().filter(s -> s.version().equals(version)).toList();
    return preferred.isEmpty() ? servers : preferred;
  }

  private static List<BackendServer> exclude(String version, List<BackendServer> servers) {
    return servers.stream().filter(s -> !s.version().equals(version)).toList();
  }
}
