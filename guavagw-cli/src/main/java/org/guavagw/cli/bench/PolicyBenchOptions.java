package org.guavagw.cli.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.kohsuke.args4j.Option;

/** Options of the policy bench. Set once by the parser and not modified afterwards. */
final class PolicyBenchOptions {
  private static final String RANGE_SEPARATOR = "-";

  @Option(name = "--deployment", usage = "nile-basin or swap-association", required = true)
  private String deployment;

  @Option(name = "--seed", usage = "seed of a single run")
  private long seed = 1;

  @Option(name = "--seeds", usage = "inclusive range of seeds, such as 101-120; overrides --seed")
  private String seeds;

  @Option(name = "--scenario", usage = "name of the only scenario to run; default: all scenarios")
  private String scenario;

  @Option(name = "--out", usage = "directory to which one plot per scenario is written")
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
