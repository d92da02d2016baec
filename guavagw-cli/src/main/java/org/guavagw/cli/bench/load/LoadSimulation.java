package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.limits.RequestClass;
import org.guavagw.internal.placement.BackendViews;
import org.guavagw.internal.placement.CacheEvents;
import org.guavagw.internal.placement.LoadReport;
import org.guavagw.internal.placement.PlacementPolicy;

/**
 * Simulates traffic to several independent entries and their engines.
 *
 * <p>Arrivals depend only on the seed, not on the router. Not thread-safe.
 */
final class LoadSimulation {
  private static final long REPORT_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MAX_REPORT_LAG_NANOS = Duration.ofMillis(1_500).toNanos();
  private static final long MAX_CONFIG_DELAY_NANOS = Duration.ofSeconds(3).toNanos();
  private static final double CACHE_EVENT_LOSS = 0.1;
  private static final double RETRY_JITTER = 0.5;

  private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
  private final SimulatedTopology topology;
  private final EngineModel model;
  private final SplittableRandom random;
  private final EngineFleet fleet;
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final CallerLog log = new CallerLog();
  private final long endNanos;
  private String outDataCentre = "";
  private long revision = 1;
  private long nextId;

  LoadSimulation(
      SimulatedTopology topology,
      EngineModel model,
      ComparedRouter router,
      long seed,
      Duration duration) {
    this.topology = topology;
    this.model = model;
    this.random = new SplittableRandom(seed);
    this.fleet = new EngineFleet(topology, model, scheduler);
    this.endNanos = duration.toNanos();
    for (int i = 0; i < topology.entries(); i++) {
      entries.add(entry(router, i, new SplittableRandom(seed * topology.entries() + i)));
    }
    fleet.engines().forEach(this::startReports);
  }

  VirtualTimeScheduler scheduler() {
    return scheduler;
  }

  EngineFleet fleet() {
    return fleet;
  }

  CallerLog log() {
    return log;
  }

  /** Adds traffic with its own random number generator. */
  void add(PoissonTraffic traffic, long seed) {
    if (traffic.maxRatePerSecond() <= 0) {
      return;
    }
    RandomGenerator arrivals = new SplittableRandom(seed);
    scheduler.after(traffic.nextGapNanos(arrivals), () -> arrive(traffic, arrivals));
  }

  /**
   * Takes a data centre out of service, or none if empty; entries adopt it after a random delay.
   */
  void setDataCentreOut(String dataCentre) {
    outDataCentre = dataCentre;
    revision++;
    RevisionedConfig config = new RevisionedConfig(revision, topology.config(model, dataCentre));
    for (SimulatedEntry entry : entries) {
      scheduler.after(random.nextLong(MAX_CONFIG_DELAY_NANOS), () -> entry.adopt(config));
    }
  }

  void run() {
    scheduler.runUntil(endNanos);
  }

  private SimulatedEntry entry(ComparedRouter router, int i, RandomGenerator entryRandom) {
    String dc = topology.dataCentres().get(i % topology.dataCentres().size());
    RevisionedConfig config = new RevisionedConfig(revision, topology.config(model, ""));
    BackendViews views = new BackendViews(scheduler);
    switch (router) {
      case GUAVAGW -> {
        int count = topology.entries();
        GuavagwEntry entry = new GuavagwEntry(dc, fleet, scheduler, entryRandom, config, count);
        entry.start(endNanos);
        return entry;
      }
      case RANDOM -> {
        return new BaselineEntry(
            dc, fleet, views, BaselinePlacementPolicies.random(entryRandom), config);
      }
      case ROUND_ROBIN -> {
        PlacementPolicy policy =
            BaselinePlacementPolicies.roundRobin(entryRandom.nextInt(topology.engines()));
        return new BaselineEntry(dc, fleet, views, policy, config);
      }
      default -> {
        BaselinePlacementPolicies.LeastReported policy =
            new BaselinePlacementPolicies.LeastReported();
        return new BaselineEntry(dc, fleet, views, policy, config) {
          @Override
          public void onLoadReport(String backendId, LoadReport report) {
            policy.onLoadReport(backendId, report);
          }
        };
      }
    }
  }

  private void arrive(PoissonTraffic traffic, RandomGenerator arrivals) {
    if (scheduler.read() > endNanos) {
      return;
    }
    if (traffic.accepts(arrivals, scheduler.read())) {
      int dc = arrivals.nextInt(topology.dataCentres().size());
      String homeDataCentre = topology.dataCentres().get(dc);
      SimulatedRequest request =
          traffic.request(arrivals, nextId++, homeDataCentre, scheduler.read());
      log.arrived(request);
      submit(request);
    }
    scheduler.after(traffic.nextGapNanos(arrivals), () -> arrive(traffic, arrivals));
  }

  private void submit(SimulatedRequest request) {
    entryFor(request).submit(request, new Caller(request));
  }

  /**
   * Load balancer: selects an entry in the caller's data centre, or in another one if it is out.
   */
  private SimulatedEntry entryFor(SimulatedRequest request) {
    int dataCentreCount = topology.dataCentres().size();
    int homeDataCentre = topology.dataCentres().indexOf(request.dataCentre());
    if (request.dataCentre().equals(outDataCentre)) {
      homeDataCentre = (homeDataCentre + 1 + random.nextInt(dataCentreCount - 1)) % dataCentreCount;
    }
    return entries.get(
        homeDataCentre + dataCentreCount * random.nextInt(topology.entriesPerDataCentre()));
  }

  private void startReports(SimulatedEngine engine) {
    long phase = random.nextLong(REPORT_PERIOD_NANOS);
    scheduler.after(
        phase, () -> scheduler.every(REPORT_PERIOD_NANOS, endNanos, () -> report(engine)));
  }

  private void report(SimulatedEngine engine) {
    if (!engine.isReachable()) {
      return;
    }
    String id = engine.config().id();
    LoadReport sent = engine.report(scheduler.read());
    CacheEvents cached = engine.takeCacheEvents();
    boolean lost = random.nextDouble() < CACHE_EVENT_LOSS;
    for (SimulatedEntry entry : entries) {
      scheduler.after(
          random.nextLong(MAX_REPORT_LAG_NANOS),
          () -> {
            entry.onLoadReport(id, received(sent));
            if (!lost) {
              entry.onCacheEvents(id, cached);
            }
          });
    }
  }

  private LoadReport received(LoadReport sent) {
    return new LoadReport(
        sent.bootId(),
        sent.cold(),
        sent.running(),
        sent.waiting(),
        sent.slots(),
        sent.versions(),
        scheduler.read());
  }

  /** Records the result of a request; retries a refused long request until its deadline. */
  private final class Caller implements SimulatedEntry.ResultHandler {
    private final SimulatedRequest request;

    Caller(SimulatedRequest request) {
      this.request = request;
    }

    @Override
    public void answered() {
      log.answered(request, scheduler.read());
    }

    @Override
    public void refused(Duration retryAfter) {
      double jittered = retryAfter.toNanos() * (1 + RETRY_JITTER * random.nextDouble());
      long again = scheduler.read() + Math.round(jittered);
      if (request.requestClass() == RequestClass.LONG && again < request.deadlineNanos()) {
        scheduler.at(again, () -> submit(request));
        return;
      }
      log.failed(request, scheduler.read());
    }
  }
}
