package org.guavagw.gateway.internal.placement;

import java.util.Optional;
import org.guavagw.gateway.model.BackendServer;

/** Chooses one of the backend servers that are eligible for a request. */
public interface Placer {
  /** Returns the best candidate, or empty if all are excluded. */
  Optional<BackendServer> choose(PlacementQuery query);
}
