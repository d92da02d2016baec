package org.guavagw.internal.limits;

/**
 * Budget for extra attempts: earns a fraction of an attempt per ordinary request, up to a maximum,
 * so that extra attempts never exceed that fraction plus the maximum. Thread-safe.
 */
final class ExtraAttemptBudget {
  private final double earnedPerRequest;
  private final double maxAvailable;
  private double available;

  ExtraAttemptBudget(double earnedPerRequest, double maxAvailable) {
    this.earnedPerRequest = earnedPerRequest;
    this.maxAvailable = maxAvailable;
    this.available = maxAvailable;
  }

  synchronized void earn() {
    available = Math.min(maxAvailable, available + earnedPerRequest);
  }

  synchronized boolean trySpend() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
