package org.guavagw.gateway.internal.relay;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.limits.ColdStartLimiter;
import org.guavagw.gateway.internal.placement.PlacementQuery;
import org.guavagw.gateway.internal.placement.Placer;
import org.guavagw.gateway.internal.rollout.VersionSelector;
import org.guavagw.gateway.model.BackendServer;

/**
 * Finds the backend server for an attempt: those that no rule forbids, of the right version, not
 * colder than they bear, and among them the best placed. Traffic thread only.
 */
final class ServerChooser {
  private final VersionSelector versions;
  private final ColdStartLimiter cold;
  private final Placer placer;
  private final String localDataCentre;

  ServerChooser(
      VersionSelector versions, ColdStartLimiter cold, Placer placer, String localDataCentre) {
    this.versions = versions;
    this.cold = cold;
    this.placer = placer;
    this.localDataCentre = localDataCentre;
  }

  Optional<BackendServer> choose(
      ControlView view,
      String service,
      String session,
      AdmittedRequest request,
      String model,
      Set<String> excluded,
      long nowNanos) {
    List<BackendServer> usable =
        view.backends(service).stream()
            .filter(s -> !s.draining())
            .filter(s -> !view.orders().evacuated().contains(s.dataCentre()))
            .toList();
    // Those that may take no more now are left out first, so that new sessions go elsewhere.
    List<BackendServer> warm = usable.stream().filter(s -> cold.allows(s, nowNanos)).toList();
    List<BackendServer> ofVersion = versions.select(view, service, session, warm, nowNanos);
    return placer.choose(
        new PlacementQuery(
            ofVersion,
            excluded,
            localDataCentre,
            model,
            request.caller().prompt(),
            request.caller().promptTokens(),
            nowNanos));
  }
}
