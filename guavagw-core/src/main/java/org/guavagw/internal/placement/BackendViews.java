package org.guavagw.internal.placement;

import com.google.common.base.Ticker;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.limits.CircuitBreaker;
import org.guavagw.internal.limits.Outcome;

/**
 * What this entry knows about each backend server: its own requests in flight there, the last load
 * report, evidence of cold start, latency, circuit and prefix cache. Thread-safe.
 */
public final class BackendViews {
  private final Ticker ticker;
  private final ConcurrentHashMap<String, BackendView> views = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, PathHealth> paths = new ConcurrentHashMap<>();
  private final PrefixLocations prefixes = new PrefixLocations();
  private volatile Map<String, String> dataCentres = Map.of();

  /** Views that know nothing yet. */
  public BackendViews(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Learns where backend servers are, and forgets idle ones that the index no longer has. */
  public void onIndex(BackendIndex index) {
    dataCentres =
        index.servers().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    BackendServerConfig::id, BackendServerConfig::dataCentre));
    views.entrySet().removeIf(e -> isForgettable(e.getKey(), e.getValue()));
  }

  /** Counts a request that is being sent. */
  public void onDispatched(String backendId) {
    long now = ticker.read();
    view(backendId).onDispatched(now);
    String dc = dataCentres.get(backendId);
    if (dc != null) {
      path(dc).onDispatched(now);
    }
  }

  /** Counts the end of a request that was sent. */
  public void onFinished(String backendId, Outcome outcome) {
    long now = ticker.read();
    view(backendId).onFinished(outcome, now);
    String dc = dataCentres.get(backendId);
    if (dc != null) {
      path(dc).onFinished(backendId, outcome.kind(), now);
    }
  }

  /** Takes a load report; one older than the last is dropped. */
  public void onLoadReport(String backendId, LoadReport report) {
    if (view(backendId).onLoadReport(report)) {
      prefixes.forget(backendId);
    }
  }

  /** Takes changes of a prefix cache; after a gap, what was known before is forgotten. */
  public void onCacheEvents(String backendId, CacheEvents events) {
    if (events.gap()) {
      prefixes.forget(backendId);
    }
    events.removed().forEach(h -> prefixes.removed(h, backendId));
    events.stored().forEach(h -> prefixes.stored(h, backendId));
  }

  /** Takes what an answer's headers say about the engine that gave it. */
  public void onAnswerHeaders(String backendId, String bootId, boolean cold, int load) {
    if (view(backendId).onBootEvidence(bootId, cold, ticker.read())) {
      prefixes.forget(backendId);
    }
  }

  /** Whether the backend server counts as cold: not recently shown warm. */
  public boolean isCold(String backendId) {
    return !view(backendId).isWarm(ticker.read());
  }

  /** What this entry has in flight at a backend server. */
  public int inFlight(String backendId) {
    return view(backendId).inFlight();
  }

  /** Smoothed time to the first byte from a backend server, or 0 before any answer. */
  public long firstByteNanos(String backendId) {
    return Math.round(view(backendId).latencyNanos());
  }

  /** State of a backend server's circuit. */
  public CircuitBreaker.State circuit(String backendId) {
    return view(backendId).circuit().state(ticker.read());
  }

  /** Whether the circuit along the path to a data centre lets requests through. */
  public boolean isPathOpen(String dataCentre) {
    return path(dataCentre).allows(ticker.read());
  }

  BackendView view(String backendId) {
    BackendView view = views.get(backendId);
    return view != null ? view : views.computeIfAbsent(backendId, id -> new BackendView());
  }

  PathHealth path(String dataCentre) {
    PathHealth path = paths.get(dataCentre);
    return path != null ? path : paths.computeIfAbsent(dataCentre, dc -> new PathHealth());
  }

  List<String> serversWithPrefix(long prefixHash) {
    return prefixes.serversWith(prefixHash);
  }

  long nowNanos() {
    return ticker.read();
  }

  private boolean isForgettable(String backendId, BackendView view) {
    return !dataCentres.containsKey(backendId) && view.inFlight() == 0;
  }
}
