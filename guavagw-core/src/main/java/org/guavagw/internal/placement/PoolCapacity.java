package org.guavagw.internal.placement;

import java.time.Duration;
import java.util.function.IntSupplier;
import org.guavagw.config.BackendServerConfig;

/**
 * This entry's part of what a pool of backend servers bears, from their load reports.
 *
 * <p>Each refresh takes the free slots that the reports show and grants this entry a part of them,
 * or takes back its part of the excess; entries therefore converge without talking to each other.
 * Where no report is recent, the limit holds its last value. Thread-safe.
 */
public final class PoolCapacity {
  private static final double TARGET_UTILISATION = 1.0;
  private static final double GAIN = 0.5;
  private static final double REFUSAL_FACTOR = 0.8;
  private static final long REFUSAL_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

  private final BackendViews views;
  private final PlacementTarget target;
  private final IntSupplier entries;
  private double limit = 1;
  private long refusedNanos;
  private boolean refusedBefore;

  /** Capacity for one target, shared by about as many entries as the supplier says. */
  public PoolCapacity(BackendViews views, PlacementTarget target, IntSupplier entries) {
    this.views = views;
    this.target = target;
    this.entries = entries;
  }

  /** Requests that this entry may have in flight. */
  public synchronized int limit() {
    return (int) Math.round(limit);
  }

  /** Computes the limit anew; cost is proportional to the backend servers of the target. */
  public synchronized void refresh(BackendIndex index) {
    long now = views.nowNanos();
    double slots = 0;
    double requests = 0;
    double own = 0;
    for (BackendServerConfig server : index.servers(target)) {
      BackendView view = views.view(server.id());
      if (views.path(server.dataCentre()).allows(now) && view.circuit().allows(now)) {
        slots += view.isWarm(now) ? server.slots() : server.coldSlots();
        requests += view.reportedRequests(now);
        own += view.inFlightAtReport(now);
      }
    }
    double spare = slots * TARGET_UTILISATION - requests;
    limit = Math.max(1, own + (spare > 0 ? GAIN : 1) * spare * part(own, requests, spare));
  }

  /** Shrinks the limit after a backend server refused for overload. */
  public synchronized void onRefused() {
    long now = views.nowNanos();
    if (refusedBefore && now - refusedNanos < REFUSAL_PAUSE_NANOS) {
      return;
    }
    refusedBefore = true;
    refusedNanos = now;
    limit = Math.max(1, limit * REFUSAL_FACTOR);
  }

  private double part(double own, double requests, double spare) {
    double equalPart = 1.0 / Math.max(1, entries.getAsInt());
    double ownPart = requests > 0 ? Math.min(1, own / requests) : equalPart;
    return spare > 0 ? Math.max(equalPart, ownPart) : ownPart;
  }
}
