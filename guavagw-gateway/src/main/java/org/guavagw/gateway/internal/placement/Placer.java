package org.guavagw.gateway.internal.placement;

/** Chooses one of the backend servers that are eligible for a request. */
public interface Placer {
  /** Returns where the request is expected to be answered first. */
  Placement place(PlacementQuery query);
}
