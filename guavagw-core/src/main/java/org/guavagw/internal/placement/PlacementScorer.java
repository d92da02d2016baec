package org.guavagw.internal.placement;

import org.guavagw.config.BackendServerConfig;

/** Scores backend servers for a query; lower is better. Thread-safe. */
final class PlacementScorer {
  private static final double FULL_LOAD = 1.0;
  private static final double FULL_PENALTY = 1.0;
  private static final double COLD_PENALTY = 2.0;
  private static final double NOT_LOADED_PENALTY = 2.0;
  private static final double REGION_PENALTY = 0.1;
  private static final double DISTANCE_PENALTY = 0.3;
  private static final double PREFIX_BONUS = 0.6;
  private static final double PREFIX_MAX_LOAD = 0.8;

  private final BackendViews views;

  PlacementScorer(BackendViews views) {
    this.views = views;
  }

  ScoredPlacement score(
      BackendServerConfig server, PlacementQuery query, boolean holdsPrefix, long nowNanos) {
    BackendView view = views.view(server.id());
    boolean cold = !view.isWarm(nowNanos);
    int slots = Math.max(1, cold ? server.coldSlots() : server.slots());
    double load = view.estimatedRequests(nowNanos) / slots;
    boolean full = load >= FULL_LOAD || !view.limiter().hasCapacity();
    boolean loaded = isLoaded(view, query.target());
    boolean hit = holdsPrefix && !cold && load < PREFIX_MAX_LOAD;
    double score = view.weightedRequests(nowNanos) / slots + distancePenalty(server, query);
    score += full ? FULL_PENALTY : 0;
    score += cold ? COLD_PENALTY : 0;
    score += loaded ? 0 : NOT_LOADED_PENALTY;
    score -= hit ? PREFIX_BONUS : 0;
    Placement.Reason reason = hit ? Placement.Reason.PREFIX_CACHE : reasonByLocation(server, query);
    return new ScoredPlacement(score, new Placement(server, cold, full, load, reason));
  }

  private static boolean isLoaded(BackendView view, PlacementTarget target) {
    return !(target instanceof PlacementTarget.Version version) || view.isLoaded(version.ref());
  }

  private static Placement.Reason reasonByLocation(
      BackendServerConfig server, PlacementQuery query) {
    return isLocal(server, query) ? Placement.Reason.LOCAL_LOAD : Placement.Reason.SPILL;
  }

  private static double distancePenalty(BackendServerConfig server, PlacementQuery query) {
    if (isLocal(server, query)) {
      return 0;
    }
    boolean nearby = query.index().sameRegion(server.dataCentre(), query.localDataCentre());
    return nearby ? REGION_PENALTY : DISTANCE_PENALTY;
  }

  private static boolean isLocal(BackendServerConfig server, PlacementQuery query) {
    return server.dataCentre().equals(query.localDataCentre());
  }
}
