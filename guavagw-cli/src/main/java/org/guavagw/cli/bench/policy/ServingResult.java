package org.guavagw.cli.bench.policy;

/**
 * Result of serving a request. Immutable.
 *
 * @param quality true rating of the sent answer
 * @param latencySeconds total latency of all cascade steps
 */
record ServingResult(double quality, long costMicros, double latencySeconds, int calls) {
  /** Creates the result of a request with a single attempt. */
  static ServingResult ofSingleAttempt(SimulatedAnswer answer) {
    return new ServingResult(answer.rating(), answer.costMicros(), answer.latencySeconds(), 1);
  }
}
