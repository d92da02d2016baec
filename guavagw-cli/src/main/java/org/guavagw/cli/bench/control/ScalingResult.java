package org.guavagw.cli.bench.control;

import java.util.Map;

/**
 * Results of one round. Immutable.
 *
 * @param perEntry mean rates per entry, by name
 * @param tableCallsPerSecond rates of the whole cluster, by kind and table
 * @param withPlatformMs time until all entries have an accepted change
 * @param withoutPlatformMs the same time when only one entry can reach the platform
 */
record ScalingResult(
    BenchScale scale,
    Map<String, Double> perEntry,
    Map<String, Double> tableCallsPerSecond,
    Quantiles withPlatformMs,
    Quantiles withoutPlatformMs) {

  /** Quantiles of samples in milliseconds. Immutable. */
  record Quantiles(int samples, double p50, double p99, double max) {}
}
