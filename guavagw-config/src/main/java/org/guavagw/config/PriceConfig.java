package org.guavagw.config;

/** Price of a model in micro-units of currency for each thousand tokens. Immutable. */
public record PriceConfig(long inputMicrosPerThousandTokens, long outputMicrosPerThousandTokens) {
  private static final long TOKENS_PER_PRICE_UNIT = 1_000;

  /** Cost of one answer in micro-units, rounded up so that work is never free by rounding. */
  public long costMicros(long inputTokens, long outputTokens) {
    long total =
        inputTokens * inputMicrosPerThousandTokens + outputTokens * outputMicrosPerThousandTokens;
    return (total + TOKENS_PER_PRICE_UNIT - 1) / TOKENS_PER_PRICE_UNIT;
  }
}
