package org.guavagw.gateway.internal.memory;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Decides which connection is given up when a limit is exceeded.
 *
 * <p>Invariants: a connection whose request awaits an answer is never chosen, nor one that alone
 * holds memory, so that a single request inside the limits is always served. Stateless.
 */
final class EvictionPolicy {
  private static final Comparator<MemoryShare> BY_STANDING =
      Comparator.comparing(MemoryShare::standing);

  /** By standing among those beyond an equal part, then the largest. */
  private static final Comparator<MemoryShare> LARGEST_FIRST =
      Comparator.comparingLong(MemoryShare::bytes).reversed();

  /** Returns the connection to give up for its memory; empty if none may be given up. */
  Optional<MemoryShare> forMemory(Collection<MemoryShare> shares, long limitBytes) {
    if (shares.stream().filter(s -> s.bytes() > 0).count() <= 1) {
      return Optional.empty();
    }
    long part = limitBytes / shares.size();
    Optional<MemoryShare> beyondPart =
        shares.stream()
            .filter(EvictionPolicy::mayBeGivenUp)
            .filter(s -> s.bytes() > part)
            .min(BY_STANDING.thenComparing(LARGEST_FIRST));
    return beyondPart.or(
        () ->
            shares.stream()
                .filter(EvictionPolicy::mayBeGivenUp)
                .filter(s -> s.bytes() > 0)
                .min(LARGEST_FIRST));
  }

  /** Returns the connection to give up for another one; empty if none may be given up. */
  Optional<MemoryShare> forConnections(Collection<MemoryShare> shares) {
    return shares.stream()
        .filter(EvictionPolicy::mayBeGivenUp)
        .min(BY_STANDING.thenComparingLong(MemoryShare::lastUse));
  }

  private static boolean mayBeGivenUp(MemoryShare share) {
    return !share.closing() && share.standing() != Standing.SERVING;
  }
}
