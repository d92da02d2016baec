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

/** An entry without limits: sends at once and retries a fixed number of times. Not thread-safe. */
class DirectEntry implements Entry {
  private static final int MAX_RETRIES = 2;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

  private final String dataCentre;
  private final Fleet fleet;
  private final BackendViews views;
  private final PlacementPolicy policy;
  private BackendIndex index;

  DirectEntry(
      String dataCentre,
      Fleet fleet,
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
  public void submit(SimRequest request, Answer answer) {
    send(request, answer, new HashSet<>());
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

  private void send(SimRequest request, Answer answer, Set<String> tried) {
    PlacementQuery query =
        new PlacementQuery(
            index,
            SimLayout.TARGET,
            dataCentre,
            OptionalLong.of(request.prefixHash()),
            request.requestClass(),
            tried);
    Either<NoBackend, Placement> choice = policy.choose(query);
    if (choice.isLeft()) {
      answer.refused(RETRY_AFTER);
      return;
    }
    String backendId = choice.get().server().id();
    tried.add(backendId);
    views.onDispatched(backendId);
    fleet.send(
        dataCentre, backendId, request, o -> onOutcome(request, answer, tried, backendId, o));
  }

  private void onOutcome(
      SimRequest request,
      Answer answer,
      Set<String> tried,
      String backendId,
      AttemptOutcome outcome) {
    views.onFinished(backendId, outcome);
    if (outcome.kind() == AttemptOutcome.Kind.COMPLETED) {
      answer.answered();
    } else if (tried.size() <= MAX_RETRIES) {
      send(request, answer, tried);
    } else {
      answer.refused(RETRY_AFTER);
    }
  }
}
