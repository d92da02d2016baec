package org.guavagw.internal.placement;

import org.guavagw.config.VersionRef;

/** Version or service that a request needs. Immutable. */
public sealed interface PlacementTarget {
  /** A version of a model. */
  record Version(VersionRef ref) implements PlacementTarget {}

  /** A plain service. */
  record Service(String id) implements PlacementTarget {}
}
