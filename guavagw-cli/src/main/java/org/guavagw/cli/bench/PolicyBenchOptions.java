package org.guavagw.cli.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.kohsuke.args4j.Option;

/** Options of the policy bench. Filled once by the parser, read only afterwards. */
final class PolicyBenchOptions {
  private static final String RANGE_SEPARATOR = "-";

  @Option(name = "--deployment", usage = "nile-basin or swap-association", required = true)
  private String deployment;

  @Option(name = "--seed", usage = "one seed")
  private long seed = 1;

  @Option(name = "--seeds", usage = "an inclusive range of seeds, such as 101-120")
  private String seeds;

  @Option(name = "--scenario", usage = "run only this scenario")
  private String scenario;

  @Option(name = "--out", usage = "directory for one plot per scenario")
  private Path out;

  String deployment() {
    return deployment;
  }

  List<Long> seeds() {
    if (seeds == null) {
      return List.of(seed);
    }
    String[] bounds = seeds.split(RANGE_SEPARATOR, 2);
    long first = Long.parseLong(bounds[0]);
    long last = Long.parseLong(bounds[bounds.length - 1]);
    return LongStream.rangeClosed(first, last).boxed().toList();
  }

  boolean selects(Scenario candidate) {
    return scenario == null || scenario.equals(candidate.name());
  }

  Path out() {
    return out;
  }
}
