package org.guavagw.gateway.internal.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.guavagw.gateway.internal.control.Orders.ObservedRollout;
import org.guavagw.gateway.model.RolloutOrder;

/**
 * The operators' orders for rollouts and evacuations by the keys of their rows.
 *
 * <p>An order that a restored store lacks stays in force until it is written again or {@link
 * #dropRetained} is called. Not thread-safe.
 */
final class ObservedOrders {
  private final Map<String, ObservedRollout> rolloutsByKey = new HashMap<>();
  private final Map<String, String> evacuatedByKey = new HashMap<>();
  private final Set<String> retainedKeys = new HashSet<>();

  void onRollout(String key, RolloutOrder order, long nowNanos) {
    retainedKeys.remove(key);
    ObservedRollout known = rolloutsByKey.get(key);
    boolean same = known != null && known.order().hasSameContent(order);
    rolloutsByKey.put(key, new ObservedRollout(order, same ? known.seenNanos() : nowNanos));
  }

  void onEvacuation(String key, String dataCentre) {
    retainedKeys.remove(key);
    evacuatedByKey.put(key, dataCentre);
  }

  void onRemoved(String key) {
    retainedKeys.remove(key);
    evacuatedByKey.remove(key);
    rolloutsByKey.remove(key);
  }

  /** Replaces all orders by those that an action records. */
  void replace(Runnable recordAll) {
    Map<String, ObservedRollout> earlier = new HashMap<>(rolloutsByKey);
    rolloutsByKey.clear();
    evacuatedByKey.clear();
    retainedKeys.clear();
    recordAll.run();
    rolloutsByKey.replaceAll((key, now) -> withFirstSeen(now, earlier.get(key)));
  }

  private static ObservedRollout withFirstSeen(ObservedRollout now, ObservedRollout earlier) {
    boolean same = earlier != null && earlier.order().hasSameContent(now.order());
    return same ? new ObservedRollout(now.order(), earlier.seenNanos()) : now;
  }

  /**
   * Replaces all orders by those of a copy, which an action records, but retains those that the
   * copy lacks; returns the number of retained orders.
   */
  int restore(Runnable recordAll) {
    Map<String, ObservedRollout> rollouts = new HashMap<>(rolloutsByKey);
    Map<String, String> evacuated = new HashMap<>(evacuatedByKey);
    replace(recordAll);
    rollouts.forEach((key, rollout) -> retain(rolloutsByKey, key, rollout));
    evacuated.forEach((key, dataCentre) -> retain(evacuatedByKey, key, dataCentre));
    return retainedKeys.size();
  }

  private <T> void retain(Map<String, T> ordersByKey, String key, T order) {
    if (ordersByKey.putIfAbsent(key, order) == null) {
      retainedKeys.add(key);
    }
  }

  /** Removes the orders that were not written again and returns their keys. */
  Set<String> dropRetained() {
    Set<String> dropped = Set.copyOf(retainedKeys);
    dropped.forEach(this::onRemoved);
    return dropped;
  }

  /** Returns the rollout orders by service. */
  Map<String, ObservedRollout> rollouts() {
    Map<String, ObservedRollout> byService = new HashMap<>();
    rolloutsByKey.values().forEach(r -> byService.put(r.order().service(), r));
    return byService;
  }

  /** Returns the evacuated data centres. */
  Set<String> evacuated() {
    return Set.copyOf(evacuatedByKey.values());
  }
}
