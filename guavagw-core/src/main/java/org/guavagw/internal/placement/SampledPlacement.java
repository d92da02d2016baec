package org.guavagw.internal.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.placement.NoBackend.Reason;

/**
 * Compares a few randomly sampled backend servers by estimated load, those of the local data centre
 * first and those of others where the local ones are busy, and any that probably hold the prompt
 * prefix.
 *
 * <p>Cost does not depend on the number of backend servers unless most of them are excluded.
 * Thread-safe as long as the source of random generators is.
 */
public final class SampledPlacement implements PlacementPolicy {
  private static final int SAMPLE_SIZE = 3;
  private static final int MAX_DRAWS = 6;
  private static final double SPILL_LOAD = 0.5;
  private static final long RETURN_RAMP_NANOS = Duration.ofSeconds(60).toNanos();
  private static final double RETURN_FIRST_SHARE = 0.05;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final BackendViews views;
  private final Supplier<RandomGenerator> random;
  private final PlacementScore score;

  /** A policy over the views of this entry. */
  public SampledPlacement(BackendViews views, Supplier<RandomGenerator> random) {
    this.views = views;
    this.random = random;
    this.score = new PlacementScore(views);
  }

  @Override
  public Either<NoBackend, Placement> choose(PlacementQuery query) {
    TargetServers servers = query.index().target(query.target());
    if (servers.byId().isEmpty()) {
      return Either.left(new NoBackend(Reason.NOT_SERVED, RETRY_AFTER));
    }
    Selection selection = new Selection(query, random.get());
    selection.considerPrefixHolders(servers);
    selection.considerLocal(servers);
    if (selection.wantsMore()) {
      selection.considerRemote(servers);
    }
    if (selection.isEmpty()) {
      selection.considerAll(servers);
    }
    return selection.isEmpty()
        ? Either.left(new NoBackend(whyNone(query, servers), RETRY_AFTER))
        : Either.right(selection.best.placement());
  }

  private static Reason whyNone(PlacementQuery query, TargetServers servers) {
    boolean allExcluded = query.excluded().containsAll(servers.byId().keySet());
    return allExcluded ? Reason.ALL_EXCLUDED : Reason.CIRCUITS_OPEN;
  }

  /** One choice in progress. Not thread-safe. */
  private final class Selection {
    private final PlacementQuery query;
    private final RandomGenerator generator;
    private final long now = views.nowNanos();
    private ScoredPlacement best;

    Selection(PlacementQuery query, RandomGenerator generator) {
      this.query = query;
      this.generator = generator;
    }

    boolean isEmpty() {
      return best == null;
    }

    boolean wantsMore() {
      return best == null || best.placement().full() || best.placement().load() >= SPILL_LOAD;
    }

    void considerPrefixHolders(TargetServers servers) {
      if (query.prefixHash().isEmpty()) {
        return;
      }
      for (String id : views.serversWithPrefix(query.prefixHash().getAsLong())) {
        BackendServerConfig server = servers.byId().get(id);
        if (server != null && mayTakeShare(server.dataCentre()) && mayUse(server)) {
          consider(server, true);
        }
      }
    }

    void considerLocal(TargetServers servers) {
      CandidatePool pool = servers.byCentre().get(query.localDataCentre());
      if (pool != null && mayTakeShare(pool.dataCentre())) {
        sample(pool.servers());
      }
    }

    void considerRemote(TargetServers servers) {
      for (Map.Entry<String, CandidatePool> pool : servers.byCentre().entrySet()) {
        boolean local = pool.getKey().equals(query.localDataCentre());
        if (!local && mayTakeShare(pool.getKey())) {
          sample(pool.getValue().servers());
        }
      }
    }

    /** Looks at every backend server, for when samples found nothing that may be used. */
    void considerAll(TargetServers servers) {
      for (BackendServerConfig server : servers.byId().values()) {
        if (mayUse(server)) {
          consider(server, false);
        }
      }
    }

    private void sample(List<BackendServerConfig> servers) {
      if (servers.size() <= SAMPLE_SIZE) {
        servers.stream().filter(this::mayUse).forEach(s -> consider(s, false));
        return;
      }
      int found = 0;
      for (int draw = 0; draw < MAX_DRAWS && found < SAMPLE_SIZE; draw++) {
        BackendServerConfig server = servers.get(generator.nextInt(servers.size()));
        if (mayUse(server)) {
          consider(server, false);
          found++;
        }
      }
    }

    private boolean mayUse(BackendServerConfig server) {
      return !query.excluded().contains(server.id())
          && views.path(server.dataCentre()).allows(now)
          && views.view(server.id()).circuit().allows(now);
    }

    /** Lets a growing share of choices consider a data centre that came back lately. */
    private boolean mayTakeShare(String dataCentre) {
      Long returned = query.index().returnedNanos(dataCentre);
      if (returned == null || now - returned >= RETURN_RAMP_NANOS) {
        return true;
      }
      double share = RETURN_FIRST_SHARE + (double) (now - returned) / RETURN_RAMP_NANOS;
      return generator.nextDouble() < share;
    }

    private void consider(BackendServerConfig server, boolean holdsPrefix) {
      ScoredPlacement next = score.of(server, query, holdsPrefix, now);
      if (best == null || next.score() < best.score()) {
        best = next;
      }
    }
  }
}
