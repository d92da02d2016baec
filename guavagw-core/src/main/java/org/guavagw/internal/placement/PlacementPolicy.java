package org.guavagw.internal.placement;

import io.vavr.control.Either;

/**
 * Chooses a backend server for one attempt. Implementations are thread-safe, do no I/O, and never
 * choose one that is not in the index, that the query excludes or whose circuit breaker is open.
 */
public interface PlacementPolicy {
  /** Returns the chosen backend server, or why there is none. */
  Either<NoBackend, Placement> choose(PlacementQuery query);
}
