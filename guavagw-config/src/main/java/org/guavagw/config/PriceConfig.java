package org.guavagw.config;

/** Price of a model in micro-units of currency per thousand tokens. Immutable. */
public record PriceConfig(long inputMicrosPerThousandTokens, long outputMicrosPerThousandTokens) {
  private static final long TOKENS_PER_PRICE_UNIT = 1_000;

  /** Returns the cost of one answer in micro-units, rounded up so that no answer is free. */
  public long costMicros(long inputTokens, long outputTokens) {
    long total =
        inputTokens * inputMicrosPerThousandTokens + outputTokens * outputMicrosPerThousandTokens;
    return (total + TOKENS_PER_PRICE_UNIT - 1) / TOKENS_PER_PRICE_UNIT;
  }
}
