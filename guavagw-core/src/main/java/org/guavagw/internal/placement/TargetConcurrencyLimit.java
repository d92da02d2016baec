package org.guavagw.internal.placement;

import java.time.Duration;
import java.util.function.IntSupplier;
import org.guavagw.config.BackendServerConfig;

/**
 * This entry's share of the capacity of a target's backend servers, derived from their load
 * reports.
 *
 * <p>Each refresh grants this entry a share of the free slots that the reports show, or takes back
 * its share of the excess, so that entries converge without communicating with each other. A
 * backend server without a recent report counts with this entry's own requests only. Thread-safe.
 */
public final class TargetConcurrencyLimit {
  private static final double TARGET_UTILISATION = 1.0;
  private static final double GAIN = 0.5;
  private static final double REFUSAL_FACTOR = 0.8;
  private static final long REFUSAL_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

  private final BackendViews views;
  private final PlacementTarget target;
  private final IntSupplier entries;
  private double limit = 1;
  private long lastRefusalNanos;
  private boolean hasRefusal;

  /**
   * Creates a limit for one target; the supplier gives the approximate number of entries that share
   * the backend servers.
   */
  public TargetConcurrencyLimit(BackendViews views, PlacementTarget target, IntSupplier entries) {
    this.views = views;
    this.target = target;
    this.entries = entries;
  }

  /** Returns the number of requests that this entry may have in flight. */
  public synchronized int limit() {
    return (int) Math.round(limit);
  }

  /**
   * Recomputes the limit; the cost is proportional to the number of backend servers of the target.
   */
  public synchronized void refresh(BackendIndex index) {
    long now = views.nowNanos();
    double slots = 0;
    double requests = 0;
    double own = 0;
    for (BackendServerConfig server : index.servers(target)) {
      BackendView view = views.view(server.id());
      if (views.reachability(server.dataCentre()).allows(now) && view.circuit().allows(now)) {
        slots += view.isWarm(now) ? server.slots() : server.coldSlots();
        requests += view.reportedRequests(now);
        own += view.inFlightAtReport(now);
      }
    }
    double freeSlots = slots * TARGET_UTILISATION - requests;
    limit =
        Math.max(
            1, own + (freeSlots > 0 ? GAIN : 1) * freeSlots * entryShare(own, requests, freeSlots));
  }

  /** Lowers the limit after a backend server refused a request because of overload. */
  public synchronized void onRefused() {
    long now = views.nowNanos();
    if (hasRefusal && now - lastRefusalNanos < REFUSAL_PAUSE_NANOS) {
      return;
    }
    hasRefusal = true;
    lastRefusalNanos = now;
    limit = Math.max(1, limit * REFUSAL_FACTOR);
  }

  private double entryShare(double own, double requests, double freeSlots) {
    double equalShare = 1.0 / Math.max(1, entries.getAsInt());
    double ownShare = requests > 0 ? Math.min(1, own / requests) : equalShare;
    return freeSlots > 0 ? Math.max(equalShare, ownShare) : ownShare;
  }
}
