package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.limits.ColdStartLimiter;
import org.guavagw.gateway.internal.limits.ServerAvailability;
import org.guavagw.gateway.internal.placement.Placement;
import org.guavagw.gateway.internal.placement.PlacementQuery;
import org.guavagw.gateway.internal.placement.Placer;
import org.guavagw.gateway.internal.rollout.VersionSelector;
import org.guavagw.gateway.model.BackendServer;

/**
 * Selects the backend server for an attempt: excludes servers that are draining, leaving,
 * evacuated, in a pause, at their limits or on another version, then picks the best by placement
 * score. Traffic thread only.
 */
final class BackendSelector {
  private final VersionSelector versions;
  private final ColdStartLimiter coldStartLimiter;
  private final ServerAvailability availability;
  private final Placer placer;
  private final String localDataCentre;

  BackendSelector(
      VersionSelector versions,
      ColdStartLimiter coldStartLimiter,
      ServerAvailability availability,
      Placer placer,
      String localDataCentre) {
    this.versions = versions;
    this.coldStartLimiter = coldStartLimiter;
    this.availability = availability;
    this.placer = placer;
    this.localDataCentre = localDataCentre;
  }

  /** Returns where an attempt is sent; the request may already have been sent to those excluded. */
  Placement place(
      ControlView view,
      String service,
      String session,
      AdmittedRequest request,
      String model,
      Set<String> excluded,
      long nowNanos) {
    List<BackendServer> available =
        inService(view, service).stream().filter(s -> availability.allows(s, nowNanos)).toList();
    // Servers at their cold-start limit are excluded before the version is chosen, so that new
    // sessions can go to another version.
    List<BackendServer> belowColdLimit =
        available.stream().filter(s -> coldStartLimiter.allows(s, nowNanos)).toList();
    List<BackendServer> ofVersion =
        versions.select(view, service, session, belowColdLimit, nowNanos);
    return placer.place(
        new PlacementQuery(
            ofVersion,
            excluded,
            localDataCentre,
            model,
            request.caller().prompt(),
            request.caller().promptTokens(),
            request.caller().answerTokens(),
            nowNanos));
  }

  /**
   * Returns the time until the first backend server of a service takes a request again; empty if
   * that is not what a request waits for.
   */
  Optional<Duration> untilFirstAccepts(ControlView view, String service, long nowNanos) {
    return availability.untilFirstAccepts(inService(view, service), nowNanos);
  }

  /** Returns the servers of a service that neither drain nor are evacuated. */
  static List<BackendServer> inService(ControlView view, String service) {
    return view.backends(service).stream()
        .filter(s -> !s.draining())
        .filter(s -> !view.orders().evacuated().contains(s.dataCentre()))
        .toList();
  }
}
