package org.guavagw.cli.bench.load;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.placement.BackendIndex;
import org.guavagw.internal.placement.BackendViews;
import org.guavagw.internal.placement.CacheEvents;
import org.guavagw.internal.placement.LoadReport;
import org.guavagw.internal.placement.NoBackend;
import org.guavagw.internal.placement.Placement;
import org.guavagw.internal.placement.PlacementPolicy;
import org.guavagw.internal.placement.PlacementQuery;

/** Entry without admission control that retries a fixed number of times. Not thread-safe. */
class BaselineEntry implements SimulatedEntry {
  private static final int MAX_RETRIES = 2;
  private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

  private final String dataCentre;
  private final EngineFleet fleet;
  private final BackendViews views;
  private final PlacementPolicy policy;
  private BackendIndex index;

  BaselineEntry(
      String dataCentre,
      EngineFleet fleet,
      BackendViews views,
      PlacementPolicy policy,
      RevisionedConfig config) {
    this.dataCentre = dataCentre;
    this.fleet = fleet;
    this.views = views;
    this.policy = policy;
    this.index = BackendIndex.of(config);
  }

  @Override
  public void submit(SimulatedRequest request, ResultHandler handler) {
    send(request, handler, new HashSet<>());
  }

  @Override
  public void adopt(RevisionedConfig config) {
    index = BackendIndex.of(config);
  }

  @Override
  public void onLoadReport(String backendId, LoadReport report) {
    views.onLoadReport(backendId, report);
  }

  @Override
  public void onCacheEvents(String backendId, CacheEvents cacheEvents) {
    views.onCacheEvents(backendId, cacheEvents);
  }

  private void send(SimulatedRequest request, ResultHandler handler, Set<String> excluded) {
    PlacementQuery query =
        new PlacementQuery(
            index,
            SimulatedTopology.TARGET,
            dataCentre,
            OptionalLong.of(request.prefixHash()),
            request.requestClass(),
            excluded);
    Either<NoBackend, Placement> choice = policy.choose(query);
    if (choice.isLeft()) {
      handler.refused(RETRY_DELAY);
      return;
    }
    String backendId = choice.get().server().id();
    excluded.add(backendId);
    views.onDispatched(backendId);
    fleet.send(
        dataCentre, backendId, request, o -> onOutcome(request, handler, excluded, backendId, o));
  }

  private void onOutcome(
      SimulatedRequest request,
      ResultHandler handler,
      Set<String> excluded,
      String backendId,
      AttemptOutcome outcome) {
    views.onFinished(backendId, outcome);
    if (outcome.kind() == AttemptOutcome.Kind.COMPLETED) {
      handler.answered();
    } else if (excluded.size() <= MAX_RETRIES) {
      send(request, handler, excluded);
    } else {
      handler.refused(RETRY_DELAY);
    }
  }
}
