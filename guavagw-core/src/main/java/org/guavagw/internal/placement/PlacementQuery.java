package org.guavagw.internal.placement;

import java.util.OptionalLong;
import java.util.Set;
import org.guavagw.internal.limits.RequestClass;

/**
 * Asks for a backend server. Immutable.
 *
 * @param index what the newest configuration revision allows
 * @param localDataCentre the data centre of the entry that asks
 * @param prefixHash hash of the prompt prefix whose cached form would save work
 * @param excluded ids of backend servers that must not be chosen, such as those already tried
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
