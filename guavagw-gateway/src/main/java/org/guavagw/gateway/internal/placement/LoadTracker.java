package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.guavagw.gateway.internal.load.LoadView;
import org.guavagw.gateway.internal.load.ServerSnapshot;
import org.guavagw.gateway.internal.peers.Measurements;
import org.guavagw.gateway.internal.peers.ServerNotices;
import org.guavagw.gateway.internal.peers.ServerWork;
import org.guavagw.gateway.internal.peers.ServerWork.Work;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.EngineSpec;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Tracks the load, health and estimated prefix cache of every backend server.
 *
 * <p>Combines what this entry observes with the reports of other entries. State is kept per
 * incarnation, so a restarted backend server starts with empty state. Confined to the traffic
 * thread.
 */
public final class LoadTracker implements LoadView {
  /** Assumed share of an engine's memory that is left for the prefix cache at least. */
  private static final double MIN_CACHE_SHARE = 0.1;

  /** Assumed memory of engines whose size is unknown, in tokens. */
  private static final long DEFAULT_CACHE_TOKENS = 100_000;

  /** How long an unreachable backend server is avoided. */
  private static final Duration UNREACHABLE_BACKOFF = Duration.ofMillis(1500);

  /** How long a backend server with a high failure rate is avoided. */
  private static final Duration FAILING_BACKOFF = Duration.ofSeconds(1);

  /** Pending prefill below which the queue of a backend server counts as empty. */
  private static final double EMPTY_QUEUE_MILLIS = 5;

  private static final double MIN_FAILURE_RATE = 0.4;
  private static final double MIN_FAILURES = 2.5;

  private final Function<String, Optional<EngineSpec>> engines;
  private final Map<String, ServerLoad> loads = new HashMap<>();
  private final IdentityHashMap<BackendServer, ServerLoad> byRegistration = new IdentityHashMap<>();
  private final PrefillRateEstimator prefillRates = new PrefillRateEstimator();
  private final ServerSpeeds speeds = new ServerSpeeds();
  private final RequestMeans means = new RequestMeans();
  private final PeerWorkReports peerReports = new PeerWorkReports();

  /** Creates a tracker of backend servers whose engines are not configured. */
  public LoadTracker() {
    this(service -> Optional.empty());
  }

  /**
   * Creates a tracker.
   *
   * @param engines returns the engines of a service if it has any
   */
  public LoadTracker(Function<String, Optional<EngineSpec>> engines) {
    this.engines = engines;
  }

  /** Returns the load of a backend server, with the latest reports of other entries. */
  ServerLoad load(BackendServer server) {
    ServerLoad load = byRegistration.get(server);
    if (load == null) {
      load = loads.computeIfAbsent(server.incarnation(), i -> new ServerLoad(i, server.id()));
      load.setSpeed(speeds.speed(load.incarnation()));
      Optional<EngineSpec> engine = engines.apply(server.service());
      load.setCapacity(
          engine.map(EngineSpec::slots).orElse(server.slots()),
          engine.map(EngineSpec::cacheTokens).orElse(0L));
      byRegistration.put(server, load);
    }
    return load;
  }

  @Override
  public ServerSnapshot at(BackendServer server, long nowNanos) {
    ServerLoad load = load(server);
    Work reported = updatePeers(load, server);
    double peers = load.peers().running(means.durationMillis(server.service()), nowNanos);
    long peerTokens = Math.round(peers * means.tokens(server.service()));
    return new ServerSnapshot(
        load.inFlight() + (int) Math.round(peers),
        load.slots(),
        load.pendingPrefillMillis() + reported.waitingMillis(),
        load.promisedTokens() + peerTokens,
        load.memoryTokens(),
        load.speed(),
        Duration.ofNanos(load.peers().ageNanos(nowNanos)));
  }

  private Work updatePeers(ServerLoad load, BackendServer server) {
    long version = peerReports.version();
    Work reported = peerReports.at(load.incarnation());
    double coveredMillis =
        load.peers().update(reported.running(), version, peerReports.receivedNanos());
    if (coveredMillis > 0) {
      double ended = load.peers().mean() * coveredMillis / means.durationMillis(server.service());
      load.cache().addUnknown((int) (ended * means.uncachedTokens(server.service())));
    }
    return reported;
  }

  int cachedTokens(BackendServer server, String model, List<PromptPart> prompt) {
    return load(server).cache().cachedTokens(model, prompt);
  }

  /**
   * Returns the in-flight requests at a backend server: this entry's and those reported by others.
   */
  public int totalInFlight(BackendServer server) {
    ServerLoad load = load(server);
    return load.inFlight() + peerReports.at(load.incarnation()).running();
  }

  /** Returns the prefill time of the prompts queued at a backend server, from all entries. */
  public double totalPendingPrefillMillis(BackendServer server) {
    ServerLoad load = load(server);
    return load.pendingPrefillMillis() + peerReports.at(load.incarnation()).waitingMillis();
  }

  /** Returns the prefill time at speed 1 of some prompt tokens that follow cached ones. */
  double prefillMillisAtSpeedOne(String model, int tokens, int cached) {
    return prefillRates.millis(model, PrefillRateEstimator.work(tokens, cached));
  }

  /** Returns the time to the first event of a request whose prefill begins at once. */
  double unqueuedMillis(BackendServer server, String model, int tokens, int cached) {
    double atSpeedOne =
        prefillRates.fixedMillis(model) + prefillMillisAtSpeedOne(model, tokens, cached);
    return atSpeedOne / load(server).speed();
  }

  /** Returns the expected time to the first event of a request sent now. */
  public double expectedMillis(
      BackendServer server, String model, List<PromptPart> prompt, int tokens) {
    int cached = cachedTokens(server, model, prompt);
    return totalPendingPrefillMillis(server) + unqueuedMillis(server, model, tokens, cached);
  }

  /** Returns the speed of a backend server relative to others of its service. */
  public double speed(BackendServer server) {
    return load(server).speed();
  }

  /** Returns the mean duration of the requests of a service. */
  double meanDurationMillis(BackendServer server) {
    return means.durationMillis(server.service());
  }

  /** Returns the work that other entries reported. */
  PeerWorkReports peerReports() {
    return peerReports;
  }

  /** Returns the work of this entry, with what else it tells others. */
  public ServerWork ownWork(ServerNotices notices) {
    Map<String, Work> work = new HashMap<>();
    loads.forEach(
        (incarnation, load) -> {
          if (load.inFlight() > 0) {
            work.put(incarnation, new Work(load.inFlight(), load.pendingPrefillMillis()));
          }
        });
    return new ServerWork(work, notices);
  }

  /** Records that an attempt without a known answer length was sent. */
  PrefillEstimate onSent(
      BackendServer server, String model, List<PromptPart> prompt, int tokens, long cacheTokens) {
    return onSent(server, model, prompt, tokens, cacheTokens, 0);
  }

  /** Records that an attempt was sent and returns the estimate of its prefill. */
  public PrefillEstimate onSent(
      BackendServer server,
      String model,
      List<PromptPart> prompt,
      int tokens,
      long cacheTokens,
      int answerTokens) {
    ServerLoad load = load(server);
    int cached = load.cache().cachedTokens(model, prompt);
    double work = PrefillRateEstimator.work(tokens, cached);
    PrefillEstimate prefill =
        new PrefillEstimate(
            model,
            Math.max(0, tokens - cached),
            work,
            prefillRates.millis(model, work) / load.speed(),
            prefillRates.fixedMillis(model) / load.speed(),
            totalPendingPrefillMillis(server) < EMPTY_QUEUE_MILLIS,
            (long) tokens + answerTokens);
    load.onSent(prefill.millis());
    load.addPromisedTokens(prefill.promisedTokens());
    means.onSent(server.service(), prefill);
    long size = cacheTokens > 0 ? cacheTokens : DEFAULT_CACHE_TOKENS;
    load.cache().resize(Math.max((long) (size * MIN_CACHE_SHARE), size - load.promisedTokens()));
    load.cache().remember(model, prompt);
    return prefill;
  }

  /** Records that the prefill of an attempt has finished or is no longer needed. */
  public void onPrefillFinished(BackendServer server, PrefillEstimate prefill) {
    load(server).onPrefillFinished(prefill.millis());
  }

  /** Records the time to the first event of an attempt. */
  public void onFirstEvent(
      BackendServer server, PrefillEstimate prefill, double millis, long sentNanos) {
    if (!prefill.queueEmpty() || prefill.tokens() == 0 || server.coldAt(sentNanos)) {
      return;
    }
    String model = prefill.model();
    ServerLoad load = load(server);
    if (prefillRates.isFitted(model)) {
      double expected =
          prefillRates.fixedMillis(model) + prefillRates.millis(model, prefill.work());
      speeds.onTime(load.incarnation(), expected, millis);
      load.setSpeed(speeds.speed(load.incarnation()));
    }
    prefillRates.onUnqueuedFirstEvent(model, prefill.work(), millis * load.speed());
  }

  /**
   * Records the time of some work that is comparable between backend servers.
   *
   * @param kind identifies the work, such as the events of a model
   */
  public void onTime(BackendServer server, String kind, double millis, long sentNanos) {
    if (!server.coldAt(sentNanos)) {
      ServerLoad load = load(server);
      speeds.onTime(load.incarnation(), kind, millis);
      load.setSpeed(speeds.speed(load.incarnation()));
    }
  }

  /** Returns what this entry has measured. */
  Measurements ownMeasurements() {
    return new Measurements(speeds.own(), prefillRates.own());
  }

  /** Gives earlier measurements less weight. */
  void decayMeasurements(double factor) {
    speeds.decay(factor);
    prefillRates.decay(factor);
  }

  /** Uses the measurements of all entries, this one included. */
  void useMeasurements(Measurements all) {
    speeds.use(all.servers());
    prefillRates.use(all.models());
    loads.values().forEach(load -> load.setSpeed(speeds.speed(load.incarnation())));
  }

  /** Records that data arrived from a backend server. */
  public void onReceived(BackendServer server, long nowNanos) {
    load(server).onReceived(nowNanos);
  }

  /** Records that the answer to an attempt has started. */
  public void onAnswerStarted(BackendServer server, long sentNanos) {
    load(server).onAnswerStarted(sentNanos);
  }

  /**
   * Returns whether a backend server has started to answer an attempt sent well after this time.
   */
  public boolean hasAnsweredLaterAttempt(BackendServer server, long sentNanos) {
    return load(server).hasAnsweredLaterAttempt(sentNanos);
  }

  /** Returns the time since data last arrived from a backend server; very long if none ever did. */
  public Duration timeSinceLastReceived(BackendServer server, long nowNanos) {
    return Duration.ofNanos(load(server).nanosSinceLastReceived(nowNanos));
  }

  /** Records that an attempt has ended. */
  void onEnded(BackendServer server) {
    load(server).onEnded();
  }

  /** Records that an attempt has ended after some time. */
  public void onEnded(BackendServer server, PrefillEstimate prefill, double millis) {
    ServerLoad load = load(server);
    load.onEnded();
    load.addPromisedTokens(-prefill.promisedTokens());
    means.onEnded(server.service(), millis);
  }

  /** Records whether an attempt succeeded. */
  public void onOutcome(BackendServer server, boolean success, long nowNanos) {
    ServerLoad load = load(server);
    load.onOutcome(success, nowNanos);
    if (!success
        && load.failures(nowNanos) >= MIN_FAILURES
        && load.failureRate(nowNanos) >= MIN_FAILURE_RATE) {
      load.avoidUntil(nowNanos + FAILING_BACKOFF.toNanos());
    }
  }

  /** Records that a backend server could not be reached. */
  public void onUnreachable(BackendServer server, long nowNanos) {
    ServerLoad load = load(server);
    load.onOutcome(false, nowNanos);
    load.avoidUntil(nowNanos + UNREACHABLE_BACKOFF.toNanos());
  }

  /** Removes the state of backend servers that are gone and have no in-flight requests. */
  public void retain(Set<String> incarnations, long nowNanos) {
    peerReports.expire(nowNanos);
    Set<String> idle =
        loads.entrySet().stream()
            .filter(e -> !incarnations.contains(e.getKey()) && e.getValue().inFlight() == 0)
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    loads.keySet().removeAll(idle);
    speeds.retain(loads.keySet());
    byRegistration.clear();
  }
}
