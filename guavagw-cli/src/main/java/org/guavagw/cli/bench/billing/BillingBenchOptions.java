package org.guavagw.cli.bench.billing;

import org.kohsuke.args4j.Option;

/** Options of the billing bench. Set once by the parser and not modified afterwards. */
final class BillingBenchOptions {
  private static final int MAX_ENTRIES = 64;
  private static final int MAX_SECONDS = 60;
  private static final int MAX_REQUESTS_PER_SECOND = 5_000;

  @Option(name = "--entries", usage = "number of entries that share the store, at most 64")
  private int entries = 8;

  @Option(name = "--rate", usage = "requests per second over all entries, at most 5000")
  private int requestsPerSecond = 1_900;

  @Option(name = "--seconds", usage = "duration of the run, at most 60")
  private int seconds = 10;

  @Option(
      name = "--writes",
      usage = "bill writes per second that all entries together may send to the store")
  private int writesPerSecond = 300;

  @Option(name = "--commit-ms", usage = "duration of one store call")
  private int commitMs = 5;

  int entries() {
    return Math.min(MAX_ENTRIES, entries);
  }

  int requestsPerSecond() {
    return Math.min(MAX_REQUESTS_PER_SECOND, requestsPerSecond);
  }

  int seconds() {
    return Math.min(MAX_SECONDS, seconds);
  }

  int writesPerSecond() {
    return writesPerSecond;
  }

  int commitMs() {
    return commitMs;
  }
}
