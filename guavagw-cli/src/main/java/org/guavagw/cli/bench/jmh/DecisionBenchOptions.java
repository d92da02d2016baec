package org.guavagw.cli.bench.jmh;

import org.kohsuke.args4j.Option;

/** Options of the decision bench. Set once by the parser and not modified afterwards. */
final class DecisionBenchOptions {
  @Option(name = "--iterations", usage = "number of warm-up iterations and of measured iterations")
  private int iterations = 5;

  @Option(name = "--seconds", usage = "duration of an iteration in seconds")
  private int seconds = 2;

  int iterations() {
    return iterations;
  }

  int seconds() {
    return seconds;
  }
}
