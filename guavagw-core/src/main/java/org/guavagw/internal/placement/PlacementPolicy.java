package org.guavagw.internal.placement;

import io.vavr.control.Either;

/**
 * Chooses a backend server for one dispatch. Implementations are thread-safe, do no I/O, and never
 * choose one that the index does not offer, that the query excludes or whose circuit is open.
 */
public interface PlacementPolicy {
  /** Chooses a backend server. */
  Either<NoBackend, Placement> choose(PlacementQuery query);
}
