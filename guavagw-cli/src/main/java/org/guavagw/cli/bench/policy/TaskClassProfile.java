package org.guavagw.cli.bench.policy;

import java.util.List;

/**
 * Properties of a task class in the generated traffic. Immutable.
 *
 * @param share share of all requests
 * @param skills skill of each model on the class, cheapest model first
 * @param qualityTarget mean rating that the cascade must reach
 */
record TaskClassProfile(
    String name,
    double share,
    int inputTokens,
    int outputTokens,
    List<Double> skills,
    double qualityTarget) {}
