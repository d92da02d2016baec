package org.guavagw.cli.bench.jmh;

import org.kohsuke.args4j.Option;

/** Options of the decision bench. Filled once by the parser, read only afterwards. */
final class DecisionBenchOptions {
  @Option(name = "--iterations", usage = "measured iterations")
  private int iterations = 5;

  @Option(name = "--seconds", usage = "length of an iteration in seconds")
  private int seconds = 2;

  int iterations() {
    return iterations;
  }

  int seconds() {
    return seconds;
  }
}
