package org.guavagw.internal.limits;

import java.util.concurrent.ConcurrentHashMap;

/** Limits the requests of each team that are in flight at this entry. Thread-safe. */
public final class TeamLimiter {
  private final ConcurrentHashMap<String, Integer> inFlight = new ConcurrentHashMap<>();

  /**
   * Counts a request of the team, if fewer than {@code max} are in flight. Returns whether it was
   * counted.
   */
  public boolean tryAcquire(String team, int max) {
    boolean[] acquired = new boolean[1];
    inFlight.compute(
        team,
        (t, count) -> {
          int current = count == null ? 0 : count;
          acquired[0] = current < max;
          return acquired[0] ? Integer.valueOf(current + 1) : count;
        });
    return acquired[0];
  }

  /** Ends a request of the team. */
  public void release(String team) {
    inFlight.computeIfPresent(team, (t, count) -> count <= 1 ? null : count - 1);
  }

  /** Returns the number of the team's requests in flight. */
  public int inFlight(String team) {
    return inFlight.getOrDefault(team, 0);
  }
}
