package org.guavagw.gateway.internal.rollout;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.control.Orders.ObservedRollout;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutState;
import org.guavagw.gateway.model.RolloutStatus;

/**
 * Narrows the backend servers of a service to the version that a request belongs on.
 *
 * <p>Answers rollouts under traffic: sessions keep their version in the first half, move once and
 * only forward in the second, and never meet a version that was taken back. Confined to the traffic
 * thread.
 */
public final class VersionSelector {
  private final SessionVersions sessions;
  private final RolloutProgress clock;

  /**
   * A gate.
   *
   * @param sessionEnd silence after which a session has ended
   */
  public VersionSelector(Duration sessionEnd, RolloutProgress clock) {
    this.sessions = new SessionVersions(sessionEnd);
    this.clock = clock;
  }

  /** Backend servers that may take the request, of one version where that can be had. */
  public List<BackendServer> narrow(
      ControlView view, String service, String session, List<BackendServer> servers, long now) {
    Optional<ObservedRollout> observed = Optional.ofNullable(view.orders().rollouts().get(service));
    Optional<RolloutStatus> status = Optional.ofNullable(view.orders().statuses().get(service));
    if (observed.isEmpty()) {
      return status.map(s -> settled(s, servers)).orElse(servers);
    }
    RolloutOrder order = observed.get().order();
    if (clock.isRejected(order)) {
      return without(order.toVersion(), servers);
    }
    Optional<RolloutStatus> answer = status.filter(s -> s.belongsTo(order));
    if (answer.isPresent() && answer.get().state() != RolloutState.RUNNING) {
      return settled(answer.get(), servers);
    }
    return underWay(order, clock.elapsed(observed.get(), answer), session, servers, now);
  }

  /** Notes which version a session was served by. */
  public void onServed(String session, String version, long nowNanos) {
    sessions.remember(session, version, nowNanos);
  }

  private static List<BackendServer> settled(RolloutStatus status, List<BackendServer> servers) {
    return switch (status.state()) {
      case RUNNING -> servers;
      case DONE -> preferring(status.toVersion(), servers);
      case ROLLED_BACK -> without(status.toVersion(), servers);
    };
  }

  private List<BackendServer> underWay(
      RolloutOrder order, Duration elapsed, String session, List<BackendServer> servers, long now) {
    Optional<String> last = sessions.versionOf(session, now);
    boolean onNew = last.filter(order.toVersion()::equals).isPresent();
    boolean mayMove = RolloutSchedule.sessionsMayMove(elapsed, order.within());
    boolean chosen =
        position(order, session) < RolloutSchedule.share(elapsed, order.within())
            && (last.isEmpty() || mayMove);
    if (onNew || chosen) {
      return preferring(order.toVersion(), servers);
    }
    List<BackendServer> old = without(order.toVersion(), servers);
    return old.isEmpty() && mayMove ? servers : old;
  }

  /** Where a session stands among all, from 0 to 1; the same on every entry. */
  private static double position(RolloutOrder order, String session) {
    long hash =
        Hashing.murmur3_128()
            .newHasher()
            .putLong(order.revision())
            .putString(session, StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return (hash >>> 11) / (double) (1L << 53);
  }

  private static List<BackendServer> preferring(String version, List<BackendServer> servers) {
    List<BackendServer> wanted = servers.stream().filter(s -> s.version().equals(version)).toList();
    return wanted.isEmpty() ? servers : wanted;
  }

  private static List<BackendServer> without(String version, List<BackendServer> servers) {
    return servers.stream().filter(s -> !s.version().equals(version)).toList();
  }
}
