package org.guavagw.internal.placement;

import com.google.common.base.Ticker;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.CircuitBreaker;

/**
 * This entry's view of each backend server: its own requests in flight, the last load report,
 * evidence of cold start, latency, circuit breaker and prefix cache. Thread-safe.
 */
public final class BackendViews {
  private final Ticker ticker;
  private final ConcurrentHashMap<String, BackendView> views = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, DataCentreReachability> reachabilities =
      new ConcurrentHashMap<>();
  private final PrefixLocations prefixes = new PrefixLocations();
  private volatile Map<String, String> dataCentres = Map.of();

  /** Creates views without any data. */
  public BackendViews(Ticker ticker) {
    this.ticker = ticker;
  }

  /**
   * Updates the data centres of backend servers, and removes the views of idle ones that are no
   * longer in the index.
   */
  public void onIndex(BackendIndex index) {
    dataCentres =
        index.servers().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    BackendServerConfig::id, BackendServerConfig::dataCentre));
    views.entrySet().removeIf(e -> isRemovable(e.getKey(), e.getValue()));
  }

  /** Records that a request is being sent. */
  public void onDispatched(String backendId) {
    long now = ticker.read();
    view(backendId).onDispatched(now);
    String dc = dataCentres.get(backendId);
    if (dc != null) {
      reachability(dc).onDispatched(now);
    }
  }

  /** Records the end of a request. */
  public void onFinished(String backendId, AttemptOutcome outcome) {
    long now = ticker.read();
    view(backendId).onFinished(outcome, now);
    String dc = dataCentres.get(backendId);
    if (dc != null) {
      reachability(dc).onFinished(backendId, outcome.kind(), now);
    }
  }

  /** Stores a load report; ignored if it is older than the last one. */
  public void onLoadReport(String backendId, LoadReport report) {
    if (view(backendId).onLoadReport(report)) {
      prefixes.removeServer(backendId);
    }
  }

  /** Applies changes of a prefix cache; a gap discards what was known of the cache before. */
  public void onCacheEvents(String backendId, CacheEvents events) {
    if (events.gap()) {
      prefixes.removeServer(backendId);
    }
    events.removed().forEach(h -> prefixes.onRemoved(h, backendId));
    events.stored().forEach(h -> prefixes.onStored(h, backendId));
  }

  /** Records the boot and cold-start state that an answer's headers report. */
  public void onAnswerHeaders(String backendId, String bootId, boolean cold, int load) {
    if (view(backendId).onBootState(bootId, cold, ticker.read())) {
      prefixes.removeServer(backendId);
    }
  }

  /**
   * Returns whether the backend server counts as cold, that is, without recent evidence that it is
   * warm.
   */
  public boolean isCold(String backendId) {
    return !view(backendId).isWarm(ticker.read());
  }

  /** Returns the number of this entry's requests in flight at a backend server. */
  public int inFlight(String backendId) {
    return view(backendId).inFlight();
  }

  /**
   * Returns the smoothed time to the first byte from a backend server, or 0 before the first
   * answer.
   */
  public long firstByteNanos(String backendId) {
    return Math.round(view(backendId).latencyNanos());
  }

  /** Returns the state of a backend server's circuit breaker. */
  public CircuitBreaker.State circuit(String backendId) {
    return view(backendId).circuit().state(ticker.read());
  }

  /** Returns whether the circuit breaker of a data centre lets requests through. */
  public boolean isDataCentreReachable(String dataCentre) {
    return reachability(dataCentre).allows(ticker.read());
  }

  BackendView view(String backendId) {
    BackendView view = views.get(backendId);
    return view != null ? view : views.computeIfAbsent(backendId, id -> new BackendView());
  }

  DataCentreReachability reachability(String dataCentre) {
    DataCentreReachability reachability = reachabilities.get(dataCentre);
    return reachability != null
        ? reachability
        : reachabilities.computeIfAbsent(dataCentre, dc -> new DataCentreReachability());
  }

  List<String> serversWithPrefix(long prefixHash) {
    return prefixes.serversWith(prefixHash);
  }

  long nowNanos() {
    return ticker.read();
  }

  private boolean isRemovable(String backendId, BackendView view) {
    return !dataCentres.containsKey(backendId) && view.inFlight() == 0;
  }
}
