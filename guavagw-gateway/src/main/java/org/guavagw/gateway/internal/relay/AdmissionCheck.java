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
 * Admits or refuses a request by its route and its team's key.
 *
 * <p>Invariants: no key is accepted if it may have been revoked longer ago than the allowed age; a
 * route or key is reported as unknown only by an entry with a recent configuration. Traffic thread
 * only.
 */
final class AdmissionCheck {
  /** A retry reaches another entry, which may have a newer configuration. */
  private static final Duration OTHER_ENTRY_RETRY_DELAY = Duration.ofMillis(100);

  /** A configuration older than this does not prove that a route or key is unknown. */
  private static final Duration MAX_RECENT_AGE = Duration.ofSeconds(3);

  private final CurrentControlView currentView;
  private final Optional<Duration> maxKeyAge;

  /**
   * Creates an admission check.
   *
   * @param maxKeyAge age of the last check of the keys beyond which none is accepted; empty for no
   *     limit
   */
  AdmissionCheck(CurrentControlView currentView, Optional<Duration> maxKeyAge) {
    this.currentView = currentView;
    this.maxKeyAge = maxKeyAge;
  }

  /** Returns the route and team of a request, or why it is refused. */
  Either<Refusal, Admission> check(String host, String target, CallerRequest request) {
    ControlView view = currentView.get();
    if (!currentView.isReady()) {
      return refuse(RefusalCode.STORE_UNAVAILABLE, "this entry has no configuration yet");
    }
    GatewayConfig config = view.config().orElseThrow();
    Optional<Route> route = view.routes().find(host, target);
    if (route.isEmpty()) {
      return refuseUnknown(RefusalCode.SERVICE_UNKNOWN, "no route for " + host + " " + target);
    }
    if (route.get().keyless() || !config.keysRequired()) {
      return Either.right(new Admission(route.get(), Optional.empty(), view));
    }
    return checkKey(view, config, route.get(), request);
  }

  private Either<Refusal, Admission> checkKey(
      ControlView view, GatewayConfig config, Route route, CallerRequest request) {
    Duration age = currentView.ordersAge();
    if (maxKeyAge.filter(max -> age.compareTo(max) > 0).isPresent()) {
      return refuse(
          RefusalCode.STORE_UNAVAILABLE,
          "keys were last checked " + age.toMillis() + " ms ago, which exceeds the allowed age");
    }
    Optional<Team> team =
        request.key().flatMap(key -> Optional.ofNullable(config.teamsByKey().get(key)));
    if (team.isEmpty()) {
      return refuseUnknown(RefusalCode.UNAUTHENTICATED, "the key belongs to no team");
    }
    return Either.right(new Admission(route, team, view));
  }

  private Either<Refusal, Admission> refuseUnknown(RefusalCode code, String reason) {
    if (currentView.ordersAge().compareTo(MAX_RECENT_AGE) > 0) {
      return refuse(
          RefusalCode.STORE_UNAVAILABLE,
          reason + ", but the configuration of this entry may be outdated");
    }
    return Either.left(Refusal.notRun(code, reason));
  }

  private static Either<Refusal, Admission> refuse(RefusalCode code, String reason) {
    return Either.left(Refusal.notRun(code, reason, OTHER_ENTRY_RETRY_DELAY));
  }

  /**
   * The route and team of an admitted request and the view that they were taken from. Immutable.
   */
  record Admission(Route route, Optional<Team> team, ControlView view) {}
}
