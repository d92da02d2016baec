package org.guavagw.internal.pipeline;

import com.google.common.base.Ticker;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.limits.AdmissionQueue;
import org.guavagw.internal.limits.AdmissionSettings;
import org.guavagw.internal.placement.BackendIndex;
import org.guavagw.internal.placement.BackendViews;
import org.guavagw.internal.placement.PlacementTarget;
import org.guavagw.internal.placement.PoolCapacity;

/** One admission queue for each version, sized by what its backend servers bear. Thread-safe. */
public final class AdmissionPools {
  private final Map<VersionRef, Pool> pools = new ConcurrentHashMap<>();
  private final BackendViews views;
  private final Supplier<BackendIndex> index;
  private final IntSupplier entries;
  private final Ticker monotonic;

  /** Creates pools for an entry that shares backend servers with others. */
  public AdmissionPools(
      BackendViews views, Supplier<BackendIndex> index, IntSupplier entries, Ticker monotonic) {
    this.views = views;
    this.index = index;
    this.entries = entries;
    this.monotonic = monotonic;
  }

  /** A queue and the limit that it keeps; immutable. */
  record Pool(AdmissionQueue queue, PoolCapacity capacity) {}

  Pool poolOf(VersionRef version) {
    return pools.computeIfAbsent(version, this::create);
  }

  /** Computes all limits anew and admits what now fits; called every now and then. */
  public void refresh() {
    BackendIndex current = index.get();
    long now = monotonic.read();
    for (Pool pool : pools.values()) {
      pool.capacity().refresh(current);
      pool.queue().poll(now);
    }
  }

  /** Requests that wait in all queues. */
  public int queued() {
    return pools.values().stream().mapToInt(p -> p.queue().queued()).sum();
  }

  private Pool create(VersionRef version) {
    PoolCapacity capacity = new PoolCapacity(views, new PlacementTarget.Version(version), entries);
    capacity.refresh(index.get());
    AdmissionQueue queue =
        new AdmissionQueue(AdmissionSettings.DEFAULT, capacity::limit, monotonic);
    return new Pool(queue, capacity);
  }
}
