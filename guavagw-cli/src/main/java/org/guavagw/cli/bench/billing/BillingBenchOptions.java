package org.guavagw.cli.bench.billing;

import org.kohsuke.args4j.Option;

/** Options of the billing bench. Filled once by the parser, read only afterwards. */
final class BillingBenchOptions {
  private static final int MAX_ENTRIES = 64;
  private static final int MAX_SECONDS = 60;
  private static final int MAX_REQUESTS_PER_SECOND = 5_000;

  @Option(name = "--entries", usage = "entries that share the store, up to 64")
  private int entries = 8;

  @Option(name = "--rate", usage = "requests a second over all entries, up to 5000")
  private int requestsPerSecond = 1_900;

  @Option(name = "--seconds", usage = "length of the run, up to 60")
  private int seconds = 10;

  @Option(name = "--writes", usage = "bill writes a second that the store allows all entries")
  private int writesPerSecond = 300;

  @Option(name = "--commit-ms", usage = "time of one call to the store")
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
