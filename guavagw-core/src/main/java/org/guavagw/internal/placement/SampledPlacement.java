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
 * Placement policy that compares a few randomly sampled backend servers by estimated load: those of
 * the local data centre, those of other data centres if the local ones are busy, and any that
 * probably have the prompt prefix in their cache.
 *
 * <p>The cost does not depend on the number of backend servers unless most of them are excluded.
 * Thread-safe if the supplier of random generators is.
 */
public final class SampledPlacement implements PlacementPolicy {
  private static final int SAMPLE_SIZE = 3;
  private static final int MAX_DRAWS = 6;
  private static final double SPILL_THRESHOLD = 0.5;
  private static final long RAMP_UP_NANOS = Duration.ofSeconds(60).toNanos();
  private static final double RAMP_UP_INITIAL_SHARE = 0.05;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final BackendViews views;
  private final Supplier<RandomGenerator> random;
  private final PlacementScorer scorer;

  /** Creates a policy that uses the views of this entry. */
  public SampledPlacement(BackendViews views, Supplier<RandomGenerator> random) {
    this.views = views;
    this.random = random;
    this.scorer = new PlacementScorer(views);
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
    if (selection.needsRemoteServers()) {
      selection.considerRemote(servers);
    }
    if (selection.isEmpty()) {
      selection.considerAll(servers);
    }
    return selection.isEmpty()
        ? Either.left(new NoBackend(noBackendReason(query, servers), RETRY_AFTER))
        : Either.right(selection.best.placement());
  }

  private static Reason noBackendReason(PlacementQuery query, TargetServers servers) {
    boolean allExcluded = query.excluded().containsAll(servers.byId().keySet());
    return allExcluded ? Reason.ALL_EXCLUDED : Reason.CIRCUITS_OPEN;
  }

  /** State of one choice. Not thread-safe. */
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

    boolean needsRemoteServers() {
      return best == null || best.placement().full() || best.placement().load() >= SPILL_THRESHOLD;
    }

    void considerPrefixHolders(TargetServers servers) {
      if (query.prefixHash().isEmpty()) {
        return;
      }
      for (String id : views.serversWithPrefix(query.prefixHash().getAsLong())) {
        BackendServerConfig server = servers.byId().get(id);
        if (server != null && isInRampUpShare(server.dataCentre()) && isUsable(server)) {
          consider(server, true);
        }
      }
    }

    void considerLocal(TargetServers servers) {
      DataCentreServers dataCentreServers = servers.byDataCentre().get(query.localDataCentre());
      if (dataCentreServers != null && isInRampUpShare(dataCentreServers.dataCentre())) {
        sample(dataCentreServers.servers());
      }
    }

    void considerRemote(TargetServers servers) {
      for (Map.Entry<String, DataCentreServers> dataCentre : servers.byDataCentre().entrySet()) {
        boolean local = dataCentre.getKey().equals(query.localDataCentre());
        if (!local && isInRampUpShare(dataCentre.getKey())) {
          sample(dataCentre.getValue().servers());
        }
      }
    }

    /** Considers every backend server, for the case that sampling found no usable one. */
    void considerAll(TargetServers servers) {
      for (BackendServerConfig server : servers.byId().values()) {
        if (isUsable(server)) {
          consider(server, false);
        }
      }
    }

    private void sample(List<BackendServerConfig> servers) {
      if (servers.size() <= SAMPLE_SIZE) {
        servers.stream().filter(this::isUsable).forEach(s -> consider(s, false));
        return;
      }
      int found = 0;
      for (int draw = 0; draw < MAX_DRAWS && found < SAMPLE_SIZE; draw++) {
        BackendServerConfig server = servers.get(generator.nextInt(servers.size()));
        if (isUsable(server)) {
          consider(server, false);
          found++;
        }
      }
    }

    private boolean isUsable(BackendServerConfig server) {
      return !query.excluded().contains(server.id())
          && views.reachability(server.dataCentre()).allows(now)
          && views.view(server.id()).circuit().allows(now);
    }

    /**
     * Returns whether this choice may use a data centre; the share of such choices increases
     * gradually after the data centre returned to service.
     */
    private boolean isInRampUpShare(String dataCentre) {
      Long returned = query.index().returnedToServiceNanos(dataCentre);
      if (returned == null || now - returned >= RAMP_UP_NANOS) {
        return true;
      }
      double share = RAMP_UP_INITIAL_SHARE + (double) (now - returned) / RAMP_UP_NANOS;
      return generator.nextDouble() < share;
    }

    private void consider(BackendServerConfig server, boolean holdsPrefix) {
      ScoredPlacement next = scorer.score(server, query, holdsPrefix, now);
      if (best == null || next.score() < best.score()) {
        best = next;
      }
    }
  }
}
