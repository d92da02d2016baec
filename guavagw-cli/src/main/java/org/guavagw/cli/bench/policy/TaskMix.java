package org.guavagw.cli.bench.policy;

import java.util.List;

/**
 * A task class in the generated traffic. Immutable.
 *
 * @param share part of all requests
 * @param skills how well each model does on the class, cheapest model first
 * @param qualityTarget mean rating that the cascade has to reach
 */
record TaskMix(
    String name,
    double share,
    int inputTokens,
    int outputTokens,
    List<Double> skills,
    double qualityTarget) {}
