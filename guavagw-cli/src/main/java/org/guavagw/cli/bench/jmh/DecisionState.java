package org.guavagw.cli.bench.jmh;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.cascade.CascadePlan;
import org.guavagw.internal.cascade.CascadePlanner;
import org.guavagw.internal.cascade.CascadeQuery;
import org.guavagw.internal.cascade.CascadeStep;
import org.guavagw.internal.cascade.RatingState;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.limits.Admission;
import org.guavagw.internal.limits.AdmissionQueue;
import org.guavagw.internal.limits.AdmissionRequest;
import org.guavagw.internal.limits.AdmissionSettings;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.RequestClass;
import org.guavagw.internal.limits.TeamLimiter;
import org.guavagw.internal.placement.BackendIndex;
import org.guavagw.internal.placement.BackendViews;
import org.guavagw.internal.placement.CacheEvents;
import org.guavagw.internal.placement.LoadReport;
import org.guavagw.internal.placement.Placement;
import org.guavagw.internal.placement.PlacementQuery;
import org.guavagw.internal.placement.PlacementTarget;
import org.guavagw.internal.placement.SampledPlacement;
import org.guavagw.internal.quality.QualityKey;
import org.guavagw.internal.quality.QualityModel;
import org.guavagw.internal.rollout.VersionChooser;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Decision state of an entry with ratings and load reports. Used by one thread. */
@State(Scope.Thread)
public class DecisionState {
  private static final long PREFIXES = 1_000;
  private static final int RATINGS_PER_KEY = 50;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

  @Param("830")
  int backendServers;

  private final Ticker ticker = Ticker.systemTicker();
  private final VersionChooser chooser = new VersionChooser();
  private final TeamLimiter teams = new TeamLimiter();
  private final QualityModel quality = new QualityModel();
  private final CascadePlanner planner = new CascadePlanner(quality);
  private final AdmissionQueue queue =
      new AdmissionQueue(AdmissionSettings.DEFAULT, () -> BenchConfig.SLOTS, ticker);
  private GatewayConfig config;
  private BackendIndex index;
  private BackendViews views;
  private SampledPlacement placement;
  private int next;

  /** Creates the state of an entry that has been running for a while. */
  @Setup(Level.Trial)
  public void setUp() {
    config = BenchConfig.of(backendServers);
    index = BackendIndex.of(new RevisionedConfig(1, config));
    views = new BackendViews(ticker);
    views.onIndex(index);
    placement = new SampledPlacement(views, ThreadLocalRandom::current);
    for (TeamConfig team : config.teams()) {
      config
          .models()
          .forEach(m -> m.versions().forEach(v -> addRatings(team.id(), m.id(), v.id())));
    }
  }

  /** Refreshes load reports and cache events, as the control thread does periodically. */
  @Setup(Level.Iteration)
  public void refreshReports() {
    for (BackendServerConfig server : config.backendServers()) {
      int running = ThreadLocalRandom.current().nextInt(BenchConfig.SLOTS);
      List<VersionRef> loaded = server.serves();
      views.onLoadReport(
          server.id(),
          new LoadReport("boot", false, running, 0, BenchConfig.SLOTS, loaded, ticker.read()));
      long prefix = ThreadLocalRandom.current().nextLong(PREFIXES);
      views.onCacheEvents(server.id(), new CacheEvents("boot", false, List.of(prefix), List.of()));
    }
  }

  /** Decides one request: team, cascade, version, admission, placement and completion. */
  Placement decide() {
    next++;
    long now = ticker.read();
    TeamConfig team = config.team(BenchConfig.teamId(next)).orElseThrow();
    teams.tryAcquire(team.id(), team.limits().maxConcurrentRequests());
    VersionRef version = plan(team).first().step().version();
    Admission admission = admit(team, now);
    Placement chosen = placement.choose(placementQuery(version)).get();
    views.onDispatched(chosen.server().id());
    views.onFinished(chosen.server().id(), AttemptOutcome.completed(ticker.read() - now));
    queue.release(admission, ticker.read());
    teams.release(team.id());
    return chosen;
  }

  /** Runs only the placement. */
  Placement place() {
    next++;
    return placement.choose(placementQuery(new VersionRef("small", "2"))).get();
  }

  private CascadePlan plan(TeamConfig team) {
    CascadeConfig cascade = config.cascade(BenchConfig.CASCADE).orElseThrow();
    String session = team.id() + "/session-" + next;
    List<CascadeStep> steps = new ArrayList<>();
    long cost = 1;
    for (String model : cascade.steps()) {
      VersionRef version =
          chooser.choose(config, model, session, Optional.empty(), team::allows).get().version();
      steps.add(new CascadeStep(version, cost, Duration.ofSeconds(cost)));
      cost++;
    }
    double draw = ThreadLocalRandom.current().nextDouble();
    return planner.plan(
        new CascadeQuery(
            team.id(),
            cascade,
            steps,
            true,
            REQUEST_TIMEOUT,
            1_000_000,
            RatingState.AVAILABLE,
            draw));
  }

  private Admission admit(TeamConfig team, long now) {
    long deadline = now + REQUEST_TIMEOUT.toNanos();
    int weight = team.limits().fairShareWeight();
    return queue
        .offer(new AdmissionRequest(team.id(), weight, RequestClass.INTERACTIVE, deadline, 1), now)
        .get();
  }

  private PlacementQuery placementQuery(VersionRef version) {
    return new PlacementQuery(
        index,
        new PlacementTarget.Version(version),
        BenchConfig.dataCentre(next),
        OptionalLong.of(next % PREFIXES),
        RequestClass.INTERACTIVE,
        Set.of());
  }

  private void addRatings(String team, String model, String version) {
    QualityKey key = new QualityKey(team, BenchConfig.CASCADE, new VersionRef(model, version));
    for (int i = 0; i < RATINGS_PER_KEY; i++) {
      quality.observe(key, ThreadLocalRandom.current().nextDouble());
    }
  }
}
