package org.guavagw.cli.bench.control;

import java.util.Map;

/**
 * What one round measured. Immutable.
 *
 * @param perEntry rates for each entry by name
 * @param tableCallsPerSecond rates of the whole system by kind and table
 * @param withPlatformMs time until every entry holds an accepted change
 * @param withoutPlatformMs the same when only one entry could read it
 */
record SizeResult(
    BenchScale scale,
    Map<String, Double> perEntry,
    Map<String, Double> tableCallsPerSecond,
    Quantiles withPlatformMs,
    Quantiles withoutPlatformMs) {

  /** Quantiles of samples in milliseconds. Immutable. */
  record Quantiles(int samples, double p50, double p99, double max) {}
}
