package org.guavagw.gateway.internal.relay;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.control.CurrentControlView;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.Team;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * Decides whether a request may be served at all.
 *
 * <p>Invariants: no key counts once its withdrawal may be older than the time to revoke; a route or
 * key is called unknown only by an entry whose knowledge is recent. Traffic thread only.
 */
final class RequestGate {
  /** Another entry may know more, and callers reach another one at the next try. */
  private static final Duration OTHER_ENTRY_RETRY = Duration.ofMillis(100);

  /** Knowledge older than this does not prove that a route or key is unknown. */
  private static final Duration RECENT = Duration.ofSeconds(3);

  private final CurrentControlView currentView;
  private final Optional<Duration> maxKeyAge;

  /**
   * A gate.
   *
   * @param maxKeyAge age of knowledge beyond which keys are not accepted; empty for no bound
   */
  RequestGate(CurrentControlView currentView, Optional<Duration> maxKeyAge) {
    this.currentView = currentView;
    this.maxKeyAge = maxKeyAge;
  }

  /** The route and team of a request, or why it is refused. */
  Either<Refusal, Admission> check(String host, String target, CallerRequest request) {
    ControlView view = currentView.get();
    if (!currentView.isReady()) {
      return refused(RefusalCode.STORE_UNAVAILABLE, "this entry has no configuration yet");
    }
    GatewayConfig config = view.config().orElseThrow();
    Optional<Route> route = view.routes().find(host, target);
    if (route.isEmpty()) {
      return unknown(RefusalCode.SERVICE_UNKNOWN, "no route for " + host + " " + target);
    }
    if (route.get().keyless() || !config.keysRequired()) {
      return Either.right(new Admission(route.get(), Optional.empty(), view));
    }
    return withKey(view, config, route.get(), request);
  }

  private Either<Refusal, Admission> withKey(
      ControlView view, GatewayConfig config, Route route, CallerRequest request) {
    Duration age = currentView.ordersAge();
    if (maxKeyAge.filter(max -> age.compareTo(max) > 0).isPresent()) {
      return refused(
          RefusalCode.STORE_UNAVAILABLE,
          "keys were last checked " + age.toMillis() + " ms ago, which is too long");
    }
    Optional<Team> team =
        request.key().flatMap(key -> Optional.ofNullable(config.teamsByKey().get(key)));
    if (team.isEmpty()) {
      return unknown(RefusalCode.UNAUTHENTICATED, "the key belongs to no team");
    }
    return Either.right(new Admission(route, team, view));
  }

  private Either<Refusal, Admission> unknown(RefusalCode code, String reason) {
    if (currentView.ordersAge().compareTo(RECENT) > 0) {
      return refused(RefusalCode.STORE_UNAVAILABLE, reason + " as far as this entry knows");
    }
    return Either.left(Refusal.notRun(code, reason));
  }

  private static Either<Refusal, Admission> refused(RefusalCode code, String reason) {
    return Either.left(Refusal.notRun(code, reason, OTHER_ENTRY_RETRY));
  }

  /** What a request is served by. Immutable. */
  record Admission(Route route, Optional<Team> team, ControlView view) {}
}
