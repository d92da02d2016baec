package org.guavagw.internal.placement;

import java.util.OptionalLong;
import java.util.Set;
import org.guavagw.internal.limits.RequestClass;

/**
 * Request for the choice of a backend server. Immutable.
 *
 * @param index backend servers of the newest configuration revision
 * @param localDataCentre data centre of the querying entry
 * @param prefixHash hash of the prompt prefix, to prefer servers that have it in their cache
 * @param excluded ids of backend servers that must not be chosen, such as those already attempted
 */
public record PlacementQuery(
    BackendIndex index,
    PlacementTarget target,
    String localDataCentre,
    OptionalLong prefixHash,
    RequestClass requestClass,
    Set<String> excluded) {
  public PlacementQuery {
    excluded = Set.copyOf(excluded);
  }
}
