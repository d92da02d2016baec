package org.guavagw.cli.bench.load;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.placement.LoadReport;
import org.guavagw.internal.placement.NoBackend;
import org.guavagw.internal.placement.Placement;
import org.guavagw.internal.placement.PlacementPolicy;
import org.guavagw.internal.placement.PlacementQuery;

/** Placement policies of common routers, for comparison. Stateless except where noted. */
final class BaselinePlacementPolicies {
  private static final NoBackend NONE =
      new NoBackend(NoBackend.Reason.ALL_EXCLUDED, Duration.ofSeconds(1));

  private BaselinePlacementPolicies() {}

  /** Selects an allowed backend server uniformly at random. */
  static PlacementPolicy random(RandomGenerator random) {
    return query -> {
      List<BackendServerConfig> servers = allowed(query);
      return servers.isEmpty()
          ? Either.left(NONE)
          : Either.right(placement(servers.get(random.nextInt(servers.size()))));
    };
  }

  /** Selects the allowed backend servers in turn. */
  static PlacementPolicy roundRobin(int start) {
    AtomicInteger next = new AtomicInteger(start);
    return query -> {
      List<BackendServerConfig> servers = allowed(query);
      return servers.isEmpty()
          ? Either.left(NONE)
          : Either.right(placement(servers.get(next.getAndIncrement() % servers.size())));
    };
  }

  private static List<BackendServerConfig> allowed(PlacementQuery query) {
    return query.index().servers(query.target()).stream()
        .filter(s -> !query.excluded().contains(s.id()))
        .toList();
  }

  private static Placement placement(BackendServerConfig server) {
    return new Placement(server, false, false, 0, Placement.Reason.LOCAL_LOAD);
  }

  /** Selects the server with the fewest requests in its last report. Not thread-safe. */
  static final class LeastReported implements PlacementPolicy {
    private final Map<String, LoadReport> reports = new HashMap<>();

    void onLoadReport(String backendId, LoadReport report) {
      reports.put(backendId, report);
    }

    @Override
    public Either<NoBackend, Placement> choose(PlacementQuery query) {
      return allowed(query).stream()
          .min(Comparator.comparingInt(this::reported))
          .<Either<NoBackend, Placement>>map(s -> Either.right(placement(s)))
          .orElseGet(() -> Either.left(NONE));
    }

    private int reported(BackendServerConfig server) {
      LoadReport report = reports.get(server.id());
      return report == null ? 0 : report.running() + report.waiting();
    }
  }
}
