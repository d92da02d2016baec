package org.guavagw.internal.placement;

import com.google.common.base.Ticker;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import org.guavagw.internal.limits.CircuitBreaker;
import org.guavagw.internal.limits.Outcome;

/**
 * What this entry knows about each backend server: its own requests in flight there, the last load
 * report, evidence of cold start, latency, circuit and prefix cache. Thread-safe.
 */
public final class BackendViews {
  private final Ticker ticker;
  private final ConcurrentHashMap<String, BackendView> views = new ConcurrentHashMap<>();
  private final PrefixLocations prefixes = new PrefixLocations();

  /** Views that know nothing yet. */
  public BackendViews(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Counts a request that is being sent. */
  public void onDispatched(String backendId) {
    view(backendId).onDispatched(ticker.read());
  }

  /** Counts the end of a request that was sent. */
  public void onFinished(String backendId, Outcome outcome) {
    view(backendId).onFinished(outcome, ticker.read());
  }

  /** Takes a load report; one older than the last is dropped. */
  public void onLoadReport(String backendId, LoadReport report) {
    view(backendId).onLoadReport(report);
  }

  /** Takes changes of a prefix cache. */
  public void onCacheEvents(String backendId, CacheEvents events) {
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

  /** State of a backend server's circuit. */
  public CircuitBreaker.State circuit(String backendId) {
    return view(backendId).circuit().state(ticker.read());
  }

  BackendView view(String backendId) {
    BackendView view = views.get(backendId);
    return view != null ? view : views.computeIfAbsent(backendId, id -> new BackendView());
  }

  List<String> serversWithPrefix(long prefixHash) {
    return prefixes.serversWith(prefixHash);
  }

  long nowNanos() {
    return ticker.read();
  }
}
