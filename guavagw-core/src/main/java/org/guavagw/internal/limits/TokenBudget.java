package org.guavagw.internal.limits;

/**
 * Tokens earned as a fraction of ordinary requests and spent on extra ones, so that extras never
 * exceed that fraction plus a bounded reserve. Thread-safe.
 */
final class TokenBudget {
  private final double earnedPerRequest;
  private final double maxTokens;
  private double tokens;

  TokenBudget(double earnedPerRequest, double maxTokens) {
    this.earnedPerRequest = earnedPerRequest;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
  }

  synchronized void earn() {
    tokens = Math.min(maxTokens, tokens + earnedPerRequest);
  }

  synchronized boolean trySpend() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
