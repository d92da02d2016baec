package org.guavagw.gateway.internal.placement;

import java.util.List;
import org.guavagw.gateway.internal.load.ServerSnapshot;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Chooses the engine that is expected to finish the prefill of a prompt first.
 *
 * <p>The expected time is the prefill time of the prompts queued at a backend server plus that of
 * the part of this prompt that is not in its prefix cache, at the speed of the server. Servers with
 * room come before full ones. For a prompt whose shared parts no backend server is known to have
 * cached, all entries prefer the same two by rendezvous hashing, as far as that saves prefill time.
 * Beside them an entry compares a random sample of the servers, as others decide by the same
 * reports. Confined to the traffic thread.
 */
public final class AffinityPlacer implements Placer {
  /** Cost of each in-flight request: its decoding steps delay the prefill of other prompts. */
  private static final double IN_FLIGHT_COST_MILLIS = 6;

  /** Cost of using another data centre: higher latency, and traffic between them is expensive. */
  private static final double OTHER_DATA_CENTRE_COST_MILLIS = 140;

  /** Cost at a failure rate of 100 %; scaled by the recent failure rate. */
  private static final double FAILURE_COST_MILLIS = 2000;

  /** Cost of a server outside the random sample that an entry compares. */
  private static final double UNSAMPLED_COST_MILLIS = 100;

  /** Servers of a data centre that are compared for the shortest prompt. */
  private static final double MIN_SAMPLE = 2;

  /** Prefill time for which one server more is compared; long prompts are few. */
  private static final double MILLIS_PER_SAMPLED_SERVER = 60;

  /** Largest cost that decides between servers that are otherwise alike. */
  private static final double TIE_MILLIS = 1;

  /** Largest cost of a server that is not preferred for the shared parts of a prompt. */
  private static final double MAX_SHARING_COST_MILLIS = 150;

  /** Part of the sharing cost that the second preferred server has. */
  private static final double SECOND_CHOICE_SHARE = 0.4;

  /** Speeds that differ by less weigh alike in rendezvous hashing, so that entries agree. */
  private static final double SPEED_STEP = 0.5;

  private static final double LOG_2 = Math.log(2);

  private final LoadTracker loads;

  /** Creates a placer that uses the given load data. */
  public AffinityPlacer(LoadTracker loads) {
    this.loads = loads;
  }

  @Override
  public Placement place(PlacementQuery query) {
    int sharedTokens = sharedTokens(query.prompt());
    double sharingCost =
        Math.min(
            MAX_SHARING_COST_MILLIS, loads.prefillMillisAtSpeedOne(query.model(), sharedTokens, 0));
    Preference preference = sharedTokens > 0 ? preference(query) : Preference.NONE;
    Sample sample = sample(query);
    BackendServer best = null;
    ServerSnapshot bestState = null;
    double bestCost = Double.MAX_VALUE;
    int bestTier = Integer.MAX_VALUE;
    for (BackendServer server : query.candidates()) {
      if (isExcluded(server, query)) {
        continue;
      }
      ServerSnapshot state = loads.at(server, query.nowNanos());
      int tier = tier(server, state, query);
      if (tier > bestTier) {
        continue;
      }
      int cached = loads.cachedTokens(server, query.model(), query.prompt());
      double cost = cost(server, state, cached, query);
      if (sharedTokens == 0 || 2 * cached <= sharedTokens) {
        cost += sharingCost * preference.costShare(server);
        cost += preference.includes(server) ? 0 : sampleCost(server, sample, query);
      }
      if (tier < bestTier || cost < bestCost) {
        best = server;
        bestState = state;
        bestCost = cost;
        bestTier = tier;
      }
    }
    return best == null ? Placement.none() : placed(best, bestState, query);
  }

  private Placement placed(BackendServer server, ServerSnapshot state, PlacementQuery query) {
    boolean room = hasRoom(state, query);
    double wait = state.pendingPrefillMillis() + (room ? 0 : slotWaitMillis(server, state));
    int cached = loads.cachedTokens(server, query.model(), query.prompt());
    double unqueued = loads.unqueuedMillis(server, query.model(), query.promptTokens(), cached);
    return new Placement.Placed(server, wait, wait + unqueued, room);
  }

  private double slotWaitMillis(BackendServer server, ServerSnapshot state) {
    int ahead = Math.max(0, state.running() - state.slots()) + 1;
    return ahead * loads.meanDurationMillis(server) / Math.max(1, state.slots());
  }

  /** Returns 0 for the servers that are to be used first. */
  private int tier(BackendServer server, ServerSnapshot state, PlacementQuery query) {
    int avoided = loads.load(server).avoidedAt(query.nowNanos()) ? 2 : 0;
    return avoided + (hasRoom(state, query) ? 0 : 1);
  }

  /** An idle engine has room for any request, as waiting would not give it more. */
  private static boolean hasRoom(ServerSnapshot state, PlacementQuery query) {
    return state.running() == 0 || state.hasRoom(query.tokens());
  }

  private double cost(
      BackendServer server, ServerSnapshot state, int cached, PlacementQuery query) {
    double cost = state.pendingPrefillMillis();
    cost += loads.unqueuedMillis(server, query.model(), query.promptTokens(), cached);
    cost += state.running() * IN_FLIGHT_COST_MILLIS / state.speed();
    cost += loads.load(server).failureRate(query.nowNanos()) * FAILURE_COST_MILLIS;
    return isLocal(server, query) ? cost : cost + OTHER_DATA_CENTRE_COST_MILLIS;
  }

  /** Returns the tokens of the parts that other requests may share; the last one is its own. */
  private static int sharedTokens(List<PromptPart> prompt) {
    int shared = 0;
    for (int i = 0; i < prompt.size() - 1; i++) {
      shared += prompt.get(i).tokens();
    }
    return shared;
  }

  /** Returns the servers that all entries of this data centre prefer for the shared parts. */
  private Preference preference(PlacementQuery query) {
    List<PromptPart> prompt = query.prompt();
    long key = Hash64.of(query.model() + '/' + prompt.get(prompt.size() - 2).id());
    BackendServer first = null;
    BackendServer second = null;
    double firstScore = Double.MAX_VALUE;
    double secondScore = Double.MAX_VALUE;
    for (BackendServer server : query.candidates()) {
      if (!isLocal(server, query) || isExcluded(server, query)) {
        continue;
      }
      double score = rendezvousScore(key, loads.load(server));
      if (score < firstScore) {
        second = first;
        secondScore = firstScore;
        first = server;
        firstScore = score;
      } else if (score < secondScore) {
        second = server;
        secondScore = score;
      }
    }
    return new Preference(first, second);
  }

  /** Returns a score by which a server comes first in proportion to its speed; lowest is first. */
  private static double rendezvousScore(long key, ServerLoad load) {
    double steps = Math.rint(Math.log(load.speed()) / LOG_2 / SPEED_STEP);
    return -Math.log(Hash64.unit(key, load.idHash())) / Math.pow(2, steps * SPEED_STEP);
  }

  private Sample sample(PlacementQuery query) {
    int local = 0;
    for (BackendServer server : query.candidates()) {
      local += isLocal(server, query) ? 1 : 0;
    }
    int remote = query.candidates().size() - local;
    double prefillMillis = loads.prefillMillisAtSpeedOne(query.model(), query.promptTokens(), 0);
    double size = MIN_SAMPLE + prefillMillis / MILLIS_PER_SAMPLED_SERVER;
    int parts = query.prompt().size();
    String request = parts == 0 ? "" : query.prompt().get(parts - 1).id();
    long key = Hash64.of(request + query.nowNanos());
    return new Sample(key, size / Math.max(1, local), size / Math.max(1, remote));
  }

  private double sampleCost(BackendServer server, Sample sample, PlacementQuery query) {
    double position = Hash64.unit(sample.key(), loads.load(server).idHash());
    boolean sampled = position < (isLocal(server, query) ? sample.local() : sample.remote());
    return sampled ? position * TIE_MILLIS : UNSAMPLED_COST_MILLIS;
  }

  private boolean isExcluded(BackendServer server, PlacementQuery query) {
    return !query.excluded().isEmpty()
        && query.excluded().contains(loads.load(server).incarnation());
  }

  private static boolean isLocal(BackendServer server, PlacementQuery query) {
    return server.dataCentre().equals(query.localDataCentre());
  }

  /** The servers that are preferred for a prompt; null if there are none. Immutable. */
  private record Preference(BackendServer first, BackendServer second) {
    private static final Preference NONE = new Preference(null, null);

    boolean includes(BackendServer server) {
      return costShare(server) < 1;
    }

    /** Returns the part of the sharing cost that a server has. */
    @SuppressWarnings("ReferenceEquality") // candidates of one query
    double costShare(BackendServer server) {
      if (server == first) {
        return 0;
      }
      return server == second ? SECOND_CHOICE_SHARE : 1;
    }
  }

  /** Which part of the servers is compared, here and in other data centres. Immutable. */
  private record Sample(long key, double local, double remote) {}
}
