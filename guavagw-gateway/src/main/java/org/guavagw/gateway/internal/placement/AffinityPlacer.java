package org.guavagw.gateway.internal.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Chooses the backend server at which a prompt will be read soonest.
 *
 * <p>Answers long prompts that share parts: the wait is the time to read the prompts that wait at a
 * backend server and what it does not hold of this one. Where no one holds the prompt, all entries
 * prefer the same backend server for it by rendezvous hashing. Confined to the traffic thread.
 */
public final class AffinityPlacer implements Placer {
  /** Cost of a request under way: its steps delay the prompts beside it. */
  private static final double MILLIS_PER_RUNNING = 6;

  /** Cost of leaving the data centre: callers wait longer and bytes between centres are dear. */
  private static final double MILLIS_FOR_OTHER_CENTRE = 140;

  /** Cost of certain failure; a share of it is charged for a share of failures. */
  private static final double MILLIS_FOR_FAILURE = 2000;

  /** How strongly entries prefer the same backend server for a prompt that nobody holds. */
  private static final double MILLIS_FOR_PREFERENCE = 70;

  private final LoadBook book;

  /** A placer by what the book says. */
  public AffinityPlacer(LoadBook book) {
    this.book = book;
  }

  @Override
  public Optional<BackendServer> choose(PlacementQuery query) {
    BackendServer best = null;
    double bestCost = Double.MAX_VALUE;
    boolean bestAvoided = true;
    for (BackendServer server : query.candidates()) {
      if (query.excluded().contains(server.incarnation())) {
        continue;
      }
      boolean avoided = book.load(server).avoidedAt(query.nowNanos());
      double cost = cost(server, query);
      if (best == null || (avoided == bestAvoided ? cost < bestCost : !avoided)) {
        best = server;
        bestCost = cost;
        bestAvoided = avoided;
      }
    }
    return Optional.ofNullable(best);
  }

  private double cost(BackendServer server, PlacementQuery query) {
    ServerLoad load = book.load(server);
    double cost = book.expectedMillis(server, query.model(), query.prompt(), query.promptTokens());
    cost += book.totalRunning(server) * MILLIS_PER_RUNNING;
    cost += load.failureShare(query.nowNanos()) * MILLIS_FOR_FAILURE;
    if (!server.dataCentre().equals(query.localDataCentre())) {
      cost += MILLIS_FOR_OTHER_CENTRE;
    }
    return cost + (1 - preference(server, query)) * MILLIS_FOR_PREFERENCE;
  }

  private static double preference(BackendServer server, PlacementQuery query) {
    String subject = subject(query);
    long hash =
        Hashing.murmur3_128()
            .newHasher()
            .putString(server.id(), StandardCharsets.UTF_8)
            .putString(subject, StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return (hash >>> 11) / (double) (1L << 53);
  }

  /** The last part that others may share; the very last one belongs to the request alone. */
  private static String subject(PlacementQuery query) {
    int parts = query.prompt().size();
    if (parts == 0) {
      return Long.toString(query.nowNanos());
    }
    PromptPart part = query.prompt().get(Math.max(0, parts - 2));
    return part.id();
  }
}
