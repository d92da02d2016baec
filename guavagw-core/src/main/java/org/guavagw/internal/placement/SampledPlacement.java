package org.guavagw.internal.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.placement.NoBackend.Reason;

/**
 * Compares a few randomly sampled backend servers by estimated load, nearest data centre first, and
 * those that probably hold the prompt prefix.
 *
 * <p>Cost does not depend on the number of backend servers unless most are excluded. Thread-safe as
 * long as the source of random generators is.
 */
public final class SampledPlacement implements PlacementPolicy {
  private static final int SAMPLE_SIZE = 3;
  private static final double SPILL_LOAD = 1.0;
  private static final double REGION_PENALTY = 0.1;
  private static final double DISTANCE_PENALTY = 0.3;
  private static final double COLD_PENALTY = 1.0;
  private static final double PREFIX_BONUS = 0.4;
  private static final double PREFIX_MAX_LOAD = 0.8;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final BackendViews views;
  private final Supplier<RandomGenerator> random;

  /** A policy over the views of this entry. */
  public SampledPlacement(BackendViews views, Supplier<RandomGenerator> random) {
    this.views = views;
    this.random = random;
  }

  @Override
  public Either<NoBackend, Placement> choose(PlacementQuery query) {
    List<CandidatePool> pools = query.index().pools(query.target());
    if (pools.isEmpty()) {
      return Either.left(new NoBackend(Reason.NOT_SERVED, RETRY_AFTER));
    }
    long now = views.nowNanos();
    Candidate best = null;
    for (CandidatePool pool : pools) {
      for (BackendServerConfig server : sample(pool, query, now)) {
        Candidate next = rate(server, query, now);
        best = best == null || next.score() < best.score() ? next : best;
      }
    }
    if (best == null) {
      return Either.left(new NoBackend(whyNone(query), RETRY_AFTER));
    }
    return Either.right(best.placement());
  }

  private List<BackendServerConfig> sample(CandidatePool pool, PlacementQuery query, long now) {
    List<BackendServerConfig> servers = pool.servers();
    int offset = random.get().nextInt(servers.size());
    List<BackendServerConfig> found = new ArrayList<>(SAMPLE_SIZE);
    for (int i = 0; i < servers.size() && found.size() < SAMPLE_SIZE; i++) {
      BackendServerConfig server = servers.get((offset + i) % servers.size());
      if (mayUse(server, query, now)) {
        found.add(server);
      }
    }
    return found;
  }

  private boolean mayUse(BackendServerConfig server, PlacementQuery query, long now) {
    boolean excluded = query.excluded().contains(server.id());
    return !excluded && views.view(server.id()).circuit().allows(now);
  }

  private Candidate rate(BackendServerConfig server, PlacementQuery query, long now) {
    BackendView view = views.view(server.id());
    double load = view.estimatedRequests(now) / Math.max(1, server.slots());
    boolean cold = !view.isWarm(now);
    boolean local = server.dataCentre().equals(query.localDataCentre());
    boolean hit = load < PREFIX_MAX_LOAD && holdsPrefix(server, query.prefixHash());
    double score = load + (cold ? COLD_PENALTY : 0) + distance(server, query);
    Placement.Reason reason = local ? Placement.Reason.LOCAL_LOAD : Placement.Reason.SPILL;
    if (hit) {
      score -= PREFIX_BONUS;
      reason = Placement.Reason.PREFIX_CACHE;
    }
    boolean full = !view.limiter().hasRoom() || load >= SPILL_LOAD;
    return new Candidate(score, new Placement(server, cold, full, load, reason));
  }

  private boolean holdsPrefix(BackendServerConfig server, OptionalLong prefixHash) {
    return prefixHash.isPresent()
        && views.serversWithPrefix(prefixHash.getAsLong()).contains(server.id());
  }

  private static double distance(BackendServerConfig server, PlacementQuery query) {
    if (server.dataCentre().equals(query.localDataCentre())) {
      return 0;
    }
    boolean near = query.index().sameRegion(server.dataCentre(), query.localDataCentre());
    return near ? REGION_PENALTY : DISTANCE_PENALTY;
  }

  private static Reason whyNone(PlacementQuery query) {
    boolean allExcluded =
        query.index().servers(query.target()).stream()
            .allMatch(s -> query.excluded().contains(s.id()));
    return allExcluded ? Reason.ALL_EXCLUDED : Reason.CIRCUITS_OPEN;
  }

  /** A placement and its cost; the lowest wins. Immutable. */
  private record Candidate(double score, Placement placement) {}
}
