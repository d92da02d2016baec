package org.guavagw.gateway.internal.placement;

import java.util.function.DoubleSupplier;
import org.guavagw.gateway.internal.load.ServerSnapshot;
import org.guavagw.gateway.model.BackendServer;

/**
 * Spreads requests without prompts over the servers in proportion to their speed and free slots.
 *
 * <p>Such requests end sooner than reports of them arrive, so entries that all chose the least
 * loaded server would choose the same one. Servers with room come before full ones. Another data
 * centre is used once the local servers are half full. Confined to the traffic thread.
 */
final class PlainPlacer implements Placer {
  /** Part of the local slots in use up to which other data centres are not used. */
  private static final double LOCAL_LOAD = 0.5;

  /** Weight of a server in another data centre relative to a local one. */
  private static final double REMOTE_WEIGHT = 0.5;

  /** Slots assumed while they are unknown. */
  private static final int DEFAULT_SLOTS = 8;

  private static final double MIN_WEIGHT = 1e-3;

  private final LoadTracker loads;
  private final DoubleSupplier random;

  /** Creates a placer that uses the given load data and numbers from 0 to 1. */
  PlainPlacer(LoadTracker loads, DoubleSupplier random) {
    this.loads = loads;
    this.random = random;
  }

  @Override
  public Placement place(PlacementQuery query) {
    boolean localOnly = localServersSuffice(query);
    Choice choice = new Choice();
    for (BackendServer server : query.candidates()) {
      boolean local = server.dataCentre().equals(query.localDataCentre());
      if (isExcluded(server, query) || (localOnly && !local)) {
        continue;
      }
      ServerSnapshot state = loads.at(server, query.nowNanos());
      choice.add(server, state, tier(server, state, query), weight(server, state, query));
    }
    if (choice.server == null) {
      return Placement.none();
    }
    double workMillis = loads.meanDurationMillis(choice.server);
    boolean room = choice.state.hasRoom(0);
    double wait = room ? 0 : workMillis / Math.max(1, choice.state.slots());
    return new Placement.Placed(choice.server, wait, wait + workMillis, room);
  }

  private boolean localServersSuffice(PlacementQuery query) {
    int slots = 0;
    int running = 0;
    boolean usable = false;
    for (BackendServer server : query.candidates()) {
      if (server.dataCentre().equals(query.localDataCentre()) && !isExcluded(server, query)) {
        ServerSnapshot state = loads.at(server, query.nowNanos());
        slots += slots(state);
        running += state.running();
        usable |= tier(server, state, query) == 0;
      }
    }
    return usable && running + 1 <= LOCAL_LOAD * slots;
  }

  private int tier(BackendServer server, ServerSnapshot state, PlacementQuery query) {
    int avoided = loads.load(server).avoidedAt(query.nowNanos()) ? 2 : 0;
    return avoided + (state.hasRoom(0) ? 0 : 1);
  }

  private double weight(BackendServer server, ServerSnapshot state, PlacementQuery query) {
    double sound = 1 - loads.load(server).failureRate(query.nowNanos());
    double free = Math.max(MIN_WEIGHT, slots(state) - state.running());
    double place = server.dataCentre().equals(query.localDataCentre()) ? 1 : REMOTE_WEIGHT;
    return Math.max(MIN_WEIGHT, free * state.speed() * sound * sound * place);
  }

  private static int slots(ServerSnapshot state) {
    return state.slots() == 0 ? DEFAULT_SLOTS : state.slots();
  }

  private boolean isExcluded(BackendServer server, PlacementQuery query) {
    return !query.excluded().isEmpty()
        && query.excluded().contains(loads.load(server).incarnation());
  }

  /** A weighted random choice among the servers of the lowest tier seen so far. */
  private final class Choice {
    private BackendServer server;
    private ServerSnapshot state;
    private int tier = Integer.MAX_VALUE;
    private double total;

    void add(BackendServer candidate, ServerSnapshot candidateState, int itsTier, double weight) {
      if (itsTier > tier) {
        return;
      }
      if (itsTier < tier) {
        tier = itsTier;
        total = 0;
      }
      total += weight;
      if (random.getAsDouble() * total < weight) {
        server = candidate;
        state = candidateState;
      }
    }
  }
}
