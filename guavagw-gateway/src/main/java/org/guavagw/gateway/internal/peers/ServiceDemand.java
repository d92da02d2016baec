package org.guavagw.gateway.internal.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleBinaryOperator;

/**
 * The demand for a service at one entry, or at several together. Immutable.
 *
 * @param running requests that were sent to backend servers and have not ended
 * @param waiting requests that wait for room
 * @param offered requests that would run at a time if none had to wait, by rank and team
 */
public record ServiceDemand(double running, double waiting, Map<String, Double> offered) {
  /** No demand. */
  public static final ServiceDemand NONE = new ServiceDemand(0, 0, Map.of());

  public ServiceDemand {
    offered = Map.copyOf(offered);
    if (!isCount(running)
        || !isCount(waiting)
        || !offered.values().stream().allMatch(ServiceDemand::isCount)) {
      throw new IllegalArgumentException("demand must be finite and not negative");
    }
  }

  private static boolean isCount(double value) {
    return Double.isFinite(value) && value >= 0;
  }

  // The generated method links method handles on first use, which slows down the start.
  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceDemand d
        && Double.compare(running, d.running) == 0
        && Double.compare(waiting, d.waiting) == 0
        && offered.equals(d.offered);
  }

  @Override
  public int hashCode() {
    return offered.hashCode();
  }

  /** Returns the key of a team within a rank. */
  public static String key(int rank, String team) {
    return rank + ":" + team;
  }

  /** Returns the rank of a key, or the least urgent one if it names none. */
  public static int rankOf(String key) {
    try {
      return Integer.parseInt(key.substring(0, Math.max(0, key.indexOf(':'))));
    } catch (NumberFormatException e) {
      return Integer.MAX_VALUE;
    }
  }

  /** Returns the sum of both. */
  public ServiceDemand plus(ServiceDemand other) {
    return combine(other, Double::sum);
  }

  /** Returns this demand without a part of it. */
  public ServiceDemand minus(ServiceDemand part) {
    return combine(part, (all, some) -> Math.max(0, all - some));
  }

  /** Returns a part of this demand. */
  public ServiceDemand times(double factor) {
    return combine(NONE, (own, none) -> own * factor);
  }

  private ServiceDemand combine(ServiceDemand other, DoubleBinaryOperator operator) {
    Map<String, Double> combined = new HashMap<>();
    offered.forEach(
        (key, own) ->
            combined.put(key, operator.applyAsDouble(own, other.offered.getOrDefault(key, 0.0))));
    other.offered.forEach(
        (key, more) -> combined.computeIfAbsent(key, k -> operator.applyAsDouble(0, more)));
    return new ServiceDemand(
        operator.applyAsDouble(running, other.running),
        operator.applyAsDouble(waiting, other.waiting),
        combined);
  }
}
