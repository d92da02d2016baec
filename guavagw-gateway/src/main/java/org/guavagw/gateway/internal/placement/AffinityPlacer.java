package org.guavagw.gateway.internal.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Chooses the backend server that is expected to finish the prefill of a prompt first.
 *
 * <p>The expected time is the prefill time of the prompts queued at a backend server plus that of
 * the part of this prompt that is not in its prefix cache. For a prompt that no backend server has
 * cached, all entries prefer the same backend server by rendezvous hashing. Confined to the traffic
 * thread.
 */
public final class AffinityPlacer implements Placer {
  /** Cost of each in-flight request: its decoding steps delay the prefill of other prompts. */
  private static final double IN_FLIGHT_COST_MILLIS = 6;

  /** Cost of using another data centre: higher latency, and traffic between them is expensive. */
  private static final double OTHER_DATA_CENTRE_COST_MILLIS = 140;

  /** Cost at a failure rate of 100 %; scaled by the recent failure rate. */
  private static final double FAILURE_COST_MILLIS = 2000;

  /**
   * Cost of the lowest rendezvous score; large enough that entries agree on a server for an
   * uncached prompt.
   */
  private static final double RENDEZVOUS_COST_MILLIS = 70;

  private final LoadTracker loads;

  /** Creates a placer that uses the given load data. */
  public AffinityPlacer(LoadTracker loads) {
    this.loads = loads;
  }

  @Override
  public Placement place(PlacementQuery query) {
    BackendServer best = null;
    double bestCost = Double.MAX_VALUE;
    boolean bestAvoided = true;
    for (BackendServer server : query.candidates()) {
      if (query.excluded().contains(server.incarnation())) {
        continue;
      }
      boolean avoided = loads.load(server).avoidedAt(query.nowNanos());
      double cost = cost(server, query);
      if (best == null || (avoided == bestAvoided ? cost < bestCost : !avoided)) {
        best = server;
        bestCost = cost;
        bestAvoided = avoided;
      }
    }
    return best == null ? Placement.none() : placed(best, query);
  }

  private Placement placed(BackendServer server, PlacementQuery query) {
    double firstEventMillis =
        loads.expectedMillis(server, query.model(), query.prompt(), query.promptTokens());
    double waitMillis = loads.totalPendingPrefillMillis(server);
    return new Placement.Placed(server, waitMillis, firstEventMillis, true);
  }

  private double cost(BackendServer server, PlacementQuery query) {
    ServerLoad load = loads.load(server);
    double cost = loads.expectedMillis(server, query.model(), query.prompt(), query.promptTokens());
    cost += loads.totalInFlight(server) * IN_FLIGHT_COST_MILLIS;
    cost += load.failureRate(query.nowNanos()) * FAILURE_COST_MILLIS;
    if (!server.dataCentre().equals(query.localDataCentre())) {
      cost += OTHER_DATA_CENTRE_COST_MILLIS;
    }
    return cost + (1 - rendezvousScore(server, query)) * RENDEZVOUS_COST_MILLIS;
  }

  private static double rendezvousScore(BackendServer server, PlacementQuery query) {
    String key = rendezvousKey(query);
    long hash =
        Hashing.murmur3_128()
            .newHasher()
            .putString(server.id(), StandardCharsets.UTF_8)
            .putString(key, StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return (hash >>> 11) / (double) (1L << 53);
  }

  /** Returns the last prompt part that can be shared; the final part is unique to the request. */
  private static String rendezvousKey(PlacementQuery query) {
    int parts = query.prompt().size();
    if (parts == 0) {
      return Long.toString(query.nowNanos());
    }
    PromptPart part = query.prompt().get(Math.max(0, parts - 2));
    return part.id();
  }
}
