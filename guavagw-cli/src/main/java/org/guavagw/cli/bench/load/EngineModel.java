package org.guavagw.cli.bench.load;

import java.time.Duration;

/**
 * Speed and limits of a simulated engine with continuous batching. Immutable.
 *
 * @param maxWaiting maximum queue length; further requests are refused
 * @param prefillNanosPerToken prefill time per uncached prompt token
 * @param decodeNanosPerToken time per output token with a single running request
 * @param fullBatchSlowdown factor on the time per output token with a full batch
 * @param coldSlowdown factor on all times during a cold start
 * @param cachedPrefixes maximum number of prompt prefixes in the cache
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

  long prefillNanos(SimulatedRequest request, boolean prefixCached, boolean cold) {
    double nanos = (double) request.promptTokens() * prefillNanosPerToken;
    return Math.round(nanos * (prefixCached ? CACHED_PREFILL : 1) * (cold ? coldSlowdown : 1));
  }

  long decodeNanos(SimulatedRequest request, int running, boolean cold) {
    double slowdown = 1 + (fullBatchSlowdown - 1) * running / slots;
    double nanos = (double) request.outputTokens() * decodeNanosPerToken;
    return Math.round(nanos * slowdown * (cold ? coldSlowdown : 1));
  }
}
