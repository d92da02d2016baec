package org.guavagw.cli.bench.load;

import java.time.Duration;

/**
 * Speeds and bounds of a modelled engine that batches continuously. Immutable.
 *
 * @param maxWaiting requests that wait at most; more are refused
 * @param prefillNanosPerToken time for each prompt token that is not cached
 * @param decodeNanosPerToken time between tokens when alone
 * @param fullBatchSlowdown how many times longer a token takes in a full batch
 * @param coldSlowdown how many times longer everything takes in cold start
 * @param cachedPrefixes prompt prefixes that the cache holds
 */
record EngineModel(
    int slots,
    int coldSlots,
    int maxWaiting,
    long prefillNanosPerToken,
    long decodeNanosPerToken,
    double fullBatchSlowdown,
    double coldSlowdown,
    Duration coldTime,
    int cachedPrefixes) {
  private static final double CACHED_PREFILL = 0.2;

  static final EngineModel DEFAULT =
      new EngineModel(16, 2, 16, 200_000L, 20_000_000L, 1.8, 3.0, Duration.ofSeconds(60), 40);

  long prefillNanos(SimRequest request, boolean prefixCached, boolean cold) {
    double nanos = (double) request.promptTokens() * prefillNanosPerToken;
    return Math.round(nanos * (prefixCached ? CACHED_PREFILL : 1) * (cold ? coldSlowdown : 1));
  }

  long decodeNanos(SimRequest request, int running, boolean cold) {
    double slowdown = 1 + (fullBatchSlowdown - 1) * running / slots;
    double nanos = (double) request.outputTokens() * decodeNanosPerToken;
    return Math.round(nanos * slowdown * (cold ? coldSlowdown : 1));
  }
}
