package org.guavagw.gateway.internal.placement;

import java.util.Optional;
import org.guavagw.gateway.model.BackendServer;

/** Chooses one of the backend servers that may take a request. */
public interface Placer {
  /** The best candidate, or none if all are excluded. */
  Optional<BackendServer> choose(PlacementQuery query);
}
