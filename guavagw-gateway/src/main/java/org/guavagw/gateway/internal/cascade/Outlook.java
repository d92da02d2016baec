package org.guavagw.gateway.internal.cascade;

/**
 * What to expect of another attempt. Immutable.
 *
 * @param expectedMillis time until its first event
 * @param remainingMillis time left until the objective; negative once it has passed
 */
public record Outlook(double expectedMillis, double remainingMillis) {
  /** Share of the remaining time that the attempt would take; large if none remains. */
  double pressure() {
    return remainingMillis <= 0 ? Double.MAX_VALUE : expectedMillis / remainingMillis;
  }
}
