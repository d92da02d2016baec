package org.guavagw.internal.placement;

import org.guavagw.config.VersionRef;

/** What has to run. Immutable. */
public sealed interface PlacementTarget {
  /** A version of a model. */
  record Version(VersionRef ref) implements PlacementTarget {}

  /** A plain service. */
  record Service(String id) implements PlacementTarget {}
}
