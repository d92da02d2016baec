package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.guavagw.gateway.internal.peers.ServerNotices;
import org.guavagw.gateway.internal.peers.ServerWork;
import org.guavagw.gateway.internal.peers.ServerWork.Work;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Tracks the load, health and estimated prefix cache of every backend server.
 *
 * <p>Combines what this entry observes with the reports of other entries. State is kept per
 * incarnation, so a restarted backend server starts with empty state. Confined to the traffic
 * thread.
 */
public final class LoadTracker {
  /** Assumed share of an engine's memory used as prefix cache; running requests use the rest. */
  private static final double CACHE_SHARE = 0.6;

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

  private final Map<String, ServerLoad> loads = new HashMap<>();
  private final PrefillRateEstimator prefillRates = new PrefillRateEstimator();
  private final PeerWorkReports peerReports = new PeerWorkReports();
  private final Map<String, PrefixCacheEstimate> prefixCaches = new HashMap<>();

  ServerLoad load(BackendServer server) {
    return loads.computeIfAbsent(server.incarnation(), i -> new ServerLoad());
  }

  int cachedTokens(BackendServer server, String model, List<PromptPart> prompt) {
    PrefixCacheEstimate cache = prefixCaches.get(server.incarnation());
    return cache == null ? 0 : cache.cachedTokens(model, prompt);
  }

  /**
   * Returns the in-flight requests at a backend server: this entry's and those reported by others.
   */
  public int totalInFlight(BackendServer server) {
    return load(server).inFlight() + peerReports.at(server.incarnation()).running();
  }

  /** Returns the prefill time of the prompts queued at a backend server, from all entries. */
  public double totalPendingPrefillMillis(BackendServer server) {
    return load(server).pendingPrefillMillis()
        + peerReports.at(server.incarnation()).waitingMillis();
  }

  /** Returns the prefill time of the part of a prompt that is not in the prefix cache. */
  double prefillMillis(BackendServer server, String model, List<PromptPart> prompt, int tokens) {
    int cached = cachedTokens(server, model, prompt);
    return prefillRates.millis(model, Math.max(0, tokens - cached));
  }

  /** Returns the expected time to the first event of a request sent now. */
  public double expectedMillis(
      BackendServer server, String model, List<PromptPart> prompt, int tokens) {
    return totalPendingPrefillMillis(server) + prefillMillis(server, model, prompt, tokens);
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

  /** Records that an attempt was sent and returns the estimate of its prefill. */
  public PrefillEstimate onSent(
      BackendServer server, String model, List<PromptPart> prompt, int tokens, long cacheTokens) {
    int uncached = Math.max(0, tokens - cachedTokens(server, model, prompt));
    PrefillEstimate prefill =
        new PrefillEstimate(
            model,
            uncached,
            prefillRates.millis(model, uncached),
            totalPendingPrefillMillis(server) < EMPTY_QUEUE_MILLIS);
    load(server).onSent(prefill.millis());
    long size = cacheTokens > 0 ? cacheTokens : DEFAULT_CACHE_TOKENS;
    prefixCaches
        .computeIfAbsent(
            server.incarnation(), i -> new PrefixCacheEstimate((long) (size * CACHE_SHARE)))
        .remember(model, prompt);
    return prefill;
  }

  /** Records that the prefill of an attempt has finished or is no longer needed. */
  public void onPrefillFinished(BackendServer server, PrefillEstimate prefill) {
    load(server).onPrefillFinished(prefill.millis());
  }

  /** Records the time to the first event of an attempt. */
  public void onFirstEvent(PrefillEstimate prefill, double millis) {
    if (prefill.queueEmpty()) {
      prefillRates.onUnqueuedFirstEvent(prefill.model(), prefill.tokens(), millis);
    }
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
  public void onEnded(BackendServer server) {
    load(server).onEnded();
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
    prefixCaches.keySet().removeAll(idle);
  }
}
