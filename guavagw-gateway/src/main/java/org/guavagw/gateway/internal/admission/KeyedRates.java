package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.guavagw.internal.limits.EventRate;

/**
 * Smoothed rates of events by key and of all events together. Keys without events are forgotten.
 * Traffic thread only.
 */
final class KeyedRates<K> {
  /** Rate below which a key is forgotten. */
  private static final double IDLE_PER_SECOND = 0.001;

  private final Map<K, EventRate> rates = new HashMap<>();
  private final Duration window;
  private final EventRate total;

  KeyedRates(Duration window) {
    this.window = window;
    this.total = new EventRate(window.toNanos());
  }

  void onEvent(K key, long nowNanos) {
    onEvent(key, 1, nowNanos);
  }

  void onEvent(K key, double weight, long nowNanos) {
    rates.computeIfAbsent(key, k -> new EventRate(window.toNanos())).onEvent(weight, nowNanos);
    total.onEvent(weight, nowNanos);
  }

  double perSecond(K key, long nowNanos) {
    EventRate rate = rates.get(key);
    return rate == null ? 0 : rate.perSecond(nowNanos);
  }

  double totalPerSecond(long nowNanos) {
    return total.perSecond(nowNanos);
  }

  /** Returns the number of recent events of a key, each weighted by its age. */
  double count(K key, long nowNanos) {
    return perSecond(key, nowNanos) * seconds();
  }

  /** Returns the number of all recent events, each weighted by its age. */
  double totalCount(long nowNanos) {
    return totalPerSecond(nowNanos) * seconds();
  }

  /** Returns the keys with recent events. */
  Set<K> keys() {
    return rates.keySet();
  }

  void forgetIdle(long nowNanos) {
    rates.values().removeIf(r -> r.perSecond(nowNanos) < IDLE_PER_SECOND);
  }

  private double seconds() {
    return window.toMillis() / 1000.0;
  }
}
