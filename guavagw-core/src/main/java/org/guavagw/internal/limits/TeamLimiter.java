package org.guavagw.internal.limits;

import java.util.concurrent.ConcurrentHashMap;

/** Bounds what each team has in flight at this entry. Thread-safe. */
public final class TeamLimiter {
  private final ConcurrentHashMap<String, Integer> inFlight = new ConcurrentHashMap<>();

  /** Takes one place of the team's, if it has fewer than {@code max} in flight. */
  public boolean tryAcquire(String team, int max) {
    boolean[] acquired = new boolean[1];
    inFlight.compute(
        team,
        (t, count) -> {
          int now = count == null ? 0 : count;
          acquired[0] = now < max;
          return acquired[0] ? Integer.valueOf(now + 1) : count;
        });
    return acquired[0];
  }

  /** Gives a place back. */
  public void release(String team) {
    inFlight.computeIfPresent(team, (t, count) -> count <= 1 ? null : count - 1);
  }

  /** What the team has in flight. */
  public int inFlight(String team) {
    return inFlight.getOrDefault(team, 0);
  }
}
