package org.guavagw.internal.placement;

import com.google.common.base.Ticker;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.guavagw.internal.limits.AdmissionQueue;
import org.guavagw.internal.limits.AdmissionSettings;

/**
 * One admission queue for each target, limited by what the target's backend servers bear.
 *
 * <p>The control thread refreshes it a few times a second. Thread-safe.
 */
public final class AdmissionPools implements AutoCloseable {
  private final BackendViews views;
  private final IntSupplier entries;
  private final AdmissionSettings settings;
  private final Ticker ticker;
  private final ConcurrentHashMap<PlacementTarget, Pool> pools = new ConcurrentHashMap<>();

  /** Pools shared by about as many entries as the supplier says. */
  public AdmissionPools(
      BackendViews views, IntSupplier entries, AdmissionSettings settings, Ticker ticker) {
    this.views = views;
    this.entries = entries;
    this.settings = settings;
    this.ticker = ticker;
  }

  /** The queue in front of a target's backend servers; release to the one that admitted. */
  public AdmissionQueue queue(BackendIndex index, PlacementTarget target) {
    return pools.computeIfAbsent(target, t -> newPool(index, t)).queue();
  }

  /** Computes limits anew, admits what fits, and forgets idle targets that nothing serves. */
  public void refresh(BackendIndex index) {
    pools.forEach((target, pool) -> pool.capacity().refresh(index));
    pools.values().forEach(p -> p.queue().poll(ticker.read()));
    pools.entrySet().removeIf(e -> index.servers(e.getKey()).isEmpty() && isIdle(e.getValue()));
  }

  /** Shrinks a target's limit after a backend server refused for overload. */
  public void onRefused(PlacementTarget target) {
    Pool pool = pools.get(target);
    if (pool != null) {
      pool.capacity().onRefused();
    }
  }

  /** Requests that wait in all queues. */
  public int queued() {
    return pools.values().stream().mapToInt(p -> p.queue().queued()).sum();
  }

  /** Refuses all that waits. */
  @Override
  public void close() {
    pools.values().forEach(p -> p.queue().close());
  }

  private Pool newPool(BackendIndex index, PlacementTarget target) {
    PoolCapacity capacity = new PoolCapacity(views, target, entries);
    capacity.refresh(index);
    return new Pool(capacity, new AdmissionQueue(settings, capacity::limit, ticker));
  }

  private static boolean isIdle(Pool pool) {
    return pool.queue().inFlight() == 0 && pool.queue().queued() == 0;
  }

  /** A target's limit and its queue. Immutable. */
  private record Pool(PoolCapacity capacity, AdmissionQueue queue) {}
}
