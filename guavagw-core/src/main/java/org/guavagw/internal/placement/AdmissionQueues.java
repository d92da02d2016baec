package org.guavagw.internal.placement;

import com.google.common.base.Ticker;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.guavagw.internal.limits.AdmissionQueue;
import org.guavagw.internal.limits.AdmissionSettings;

/**
 * Admission queues, one for each target, limited by the capacity of the target's backend servers.
 *
 * <p>The control thread refreshes the limits a few times a second. Thread-safe.
 */
public final class AdmissionQueues implements AutoCloseable {
  private final BackendViews views;
  private final IntSupplier entries;
  private final AdmissionSettings settings;
  private final Ticker ticker;
  private final ConcurrentHashMap<PlacementTarget, TargetQueue> targetQueues =
      new ConcurrentHashMap<>();

  /**
   * Creates queues without targets; the supplier gives the approximate number of entries that share
   * the backend servers.
   */
  public AdmissionQueues(
      BackendViews views, IntSupplier entries, AdmissionSettings settings, Ticker ticker) {
    this.views = views;
    this.entries = entries;
    this.settings = settings;
    this.ticker = ticker;
  }

  /**
   * Returns the admission queue of a target. An admission must be released to the queue that
   * granted it.
   */
  public AdmissionQueue queue(BackendIndex index, PlacementTarget target) {
    return targetQueues.computeIfAbsent(target, t -> newTargetQueue(index, t)).queue();
  }

  /**
   * Recomputes the limits, admits queued requests that fit, and removes idle targets without
   * backend servers.
   */
  public void refresh(BackendIndex index) {
    targetQueues.forEach((target, targetQueue) -> targetQueue.concurrencyLimit().refresh(index));
    targetQueues.values().forEach(q -> q.queue().poll(ticker.read()));
    targetQueues
        .entrySet()
        .removeIf(e -> index.servers(e.getKey()).isEmpty() && isIdle(e.getValue()));
  }

  /** Lowers a target's limit after a backend server refused a request because of overload. */
  public void onRefused(PlacementTarget target) {
    TargetQueue targetQueue = targetQueues.get(target);
    if (targetQueue != null) {
      targetQueue.concurrencyLimit().onRefused();
    }
  }

  /** Returns the number of requests in all queues. */
  public int queued() {
    return targetQueues.values().stream().mapToInt(q -> q.queue().queued()).sum();
  }

  /** Refuses all queued requests. */
  @Override
  public void close() {
    targetQueues.values().forEach(q -> q.queue().close());
  }

  private TargetQueue newTargetQueue(BackendIndex index, PlacementTarget target) {
    TargetConcurrencyLimit concurrencyLimit = new TargetConcurrencyLimit(views, target, entries);
    concurrencyLimit.refresh(index);
    return new TargetQueue(
        concurrencyLimit, new AdmissionQueue(settings, concurrencyLimit::limit, ticker));
  }

  private static boolean isIdle(TargetQueue targetQueue) {
    return targetQueue.queue().inFlight() == 0 && targetQueue.queue().queued() == 0;
  }

  /** Concurrency limit and queue of a target. Immutable. */
  private record TargetQueue(TargetConcurrencyLimit concurrencyLimit, AdmissionQueue queue) {}
}
