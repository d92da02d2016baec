package org.guavagw.cli.bench.policy;

/**
 * How a request was served. Immutable.
 *
 * @param quality true rating of the answer that was sent
 * @param latencySeconds time until the answer was sent, over all steps
 */
record Served(double quality, long costMicros, double latencySeconds, int calls) {
  /** One call whose answer was sent. */
  static Served by(FakeAnswer answer) {
    return new Served(answer.rating(), answer.costMicros(), answer.latencySeconds(), 1);
  }
}
