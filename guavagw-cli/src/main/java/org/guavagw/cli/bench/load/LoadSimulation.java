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
 * One run of traffic against several independent entries and the engines behind them.
 *
 * <p>Arrivals depend only on the seed, not on the router. Not thread-safe.
 */
final class LoadSimulation {
  private static final long REPORT_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MAX_REPORT_LAG_NANOS = Duration.ofMillis(1_500).toNanos();
  private static final long CONFIG_SPREAD_NANOS = Duration.ofSeconds(3).toNanos();
  private static final double CACHE_EVENT_LOSS = 0.1;
  private static final double RETRY_JITTER = 0.5;

  private final EventQueue events = new EventQueue();
  private final SimLayout layout;
  private final EngineModel model;
  private final SplittableRandom random;
  private final Fleet fleet;
  private final List<Entry> entries = new ArrayList<>();
  private final CallerLog log = new CallerLog();
  private final long endNanos;
  private String out = "";
  private long revision = 1;
  private long nextId;

  LoadSimulation(
      SimLayout layout, EngineModel model, RouterKind kind, long seed, Duration duration) {
    this.layout = layout;
    this.model = model;
    this.random = new SplittableRandom(seed);
    this.fleet = new Fleet(layout, model, events);
    this.endNanos = duration.toNanos();
    for (int i = 0; i < layout.entries(); i++) {
      entries.add(entry(kind, i, new SplittableRandom(seed * layout.entries() + i)));
    }
    fleet.engines().forEach(this::startReports);
  }

  EventQueue events() {
    return events;
  }

  Fleet fleet() {
    return fleet;
  }

  CallerLog log() {
    return log;
  }

  /** Adds traffic with random numbers of its own. */
  void add(Traffic traffic, long seed) {
    if (traffic.maxRatePerSecond() <= 0) {
      return;
    }
    RandomGenerator arrivals = new SplittableRandom(seed);
    events.after(traffic.nextGapNanos(arrivals), () -> arrive(traffic, arrivals));
  }

  /** Takes a data centre out of service, or none where it is empty; spreads within seconds. */
  void takeOut(String dataCentre) {
    out = dataCentre;
    revision++;
    RevisionedConfig config = new RevisionedConfig(revision, layout.config(model, dataCentre));
    for (Entry entry : entries) {
      events.after(random.nextLong(CONFIG_SPREAD_NANOS), () -> entry.adopt(config));
    }
  }

  void run() {
    events.runUntil(endNanos);
  }

  private Entry entry(RouterKind kind, int i, RandomGenerator entryRandom) {
    String dc = layout.dataCentres().get(i % layout.dataCentres().size());
    RevisionedConfig config = new RevisionedConfig(revision, layout.config(model, ""));
    BackendViews views = new BackendViews(events);
    switch (kind) {
      case GUAVAGW -> {
        int count = layout.entries();
        GuardedEntry entry = new GuardedEntry(dc, fleet, events, entryRandom, config, count);
        entry.start(endNanos);
        return entry;
      }
      case RANDOM -> {
        return new DirectEntry(dc, fleet, views, NaivePolicies.random(entryRandom), config);
      }
      case ROUND_ROBIN -> {
        PlacementPolicy policy = NaivePolicies.roundRobin(entryRandom.nextInt(layout.engines()));
        return new DirectEntry(dc, fleet, views, policy, config);
      }
      default -> {
        NaivePolicies.LeastReported policy = new NaivePolicies.LeastReported();
        return new DirectEntry(dc, fleet, views, policy, config) {
          @Override
          public void onLoadReport(String backendId, LoadReport report) {
            policy.onLoadReport(backendId, report);
          }
        };
      }
    }
  }

  private void arrive(Traffic traffic, RandomGenerator arrivals) {
    if (events.read() > endNanos) {
      return;
    }
    if (traffic.accepts(arrivals, events.read())) {
      int dc = arrivals.nextInt(layout.dataCentres().size());
      String home = layout.dataCentres().get(dc);
      SimRequest request = traffic.request(arrivals, nextId++, home, events.read());
      log.arrived(request);
      submit(request);
    }
    events.after(traffic.nextGapNanos(arrivals), () -> arrive(traffic, arrivals));
  }

  private void submit(SimRequest request) {
    entryFor(request).submit(request, new Caller(request));
  }

  /** The balancer: an entry of the caller's data centre, or of any other when that one is out. */
  private Entry entryFor(SimRequest request) {
    int centres = layout.dataCentres().size();
    int home = layout.dataCentres().indexOf(request.dataCentre());
    if (request.dataCentre().equals(out)) {
      home = (home + 1 + random.nextInt(centres - 1)) % centres;
    }
    return entries.get(home + centres * random.nextInt(layout.entriesPerDataCentre()));
  }

  private void startReports(ModelledEngine engine) {
    long phase = random.nextLong(REPORT_PERIOD_NANOS);
    events.after(phase, () -> events.every(REPORT_PERIOD_NANOS, endNanos, () -> report(engine)));
  }

  private void report(ModelledEngine engine) {
    if (!engine.isReachable()) {
      return;
    }
    String id = engine.config().id();
    LoadReport sent = engine.report(events.read());
    CacheEvents cached = engine.takeCacheEvents();
    boolean lost = random.nextDouble() < CACHE_EVENT_LOSS;
    for (Entry entry : entries) {
      events.after(
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
        events.read());
  }

  /** Logs the end of a request; repeats a refused long one while its caller has patience. */
  private final class Caller implements Entry.Answer {
    private final SimRequest request;

    Caller(SimRequest request) {
      this.request = request;
    }

    @Override
    public void answered() {
      log.answered(request, events.read());
    }

    @Override
    public void refused(Duration retryAfter) {
      double jittered = retryAfter.toNanos() * (1 + RETRY_JITTER * random.nextDouble());
      long again = events.read() + Math.round(jittered);
      if (request.requestClass() == RequestClass.LONG && again < request.deadlineNanos()) {
        events.at(again, () -> submit(request));
        return;
      }
      log.failed(request, events.read());
    }
  }
}
