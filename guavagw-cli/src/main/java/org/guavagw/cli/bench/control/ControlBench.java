package org.guavagw.cli.bench.control;

import com.google.common.base.Splitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Measures what the control plane costs each entry, at several sizes. Used by one thread. */
public final class ControlBench {
  private static final int USAGE_ERROR = 2;

  @Option(name = "--sizes", usage = "numbers of entries, separated by commas")
  private String sizes = "14,28,56,112";

  @Option(name = "--data-centres", usage = "data centres over which the entries are spread")
  private int dataCentres = 7;

  @Option(name = "--seconds", usage = "length of the steady phase of each round")
  private int seconds = 20;

  @Option(name = "--changes", usage = "configuration changes of each kind in a round")
  private int changes = 20;

  @Option(name = "--seed", usage = "seed of the pauses between changes")
  private long seed = 1;

  @Option(name = "--storm", usage = "entries of a round of restarts and losses; 0 for none")
  private int storm = 0;

  @Option(name = "--restart-pause-ms", usage = "time between two restarts of that round")
  private int restartPauseMs = 300;

  private ControlBench() {}

  /** Runs the bench and gives the exit code. */
  public static int run(String... args) {
    ControlBench bench = new ControlBench();
    try {
      new CmdLineParser(bench).parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      e.getParser().printUsage(System.err);
      return USAGE_ERROR;
    }
    BenchReport.print(bench.rounds(), bench.storms(), System.out);
    return 0;
  }

  private List<SizeResult> rounds() {
    List<SizeResult> results = new ArrayList<>();
    for (String size : Splitter.on(',').trimResults().omitEmptyStrings().split(sizes)) {
      BenchScale scale = new BenchScale(Integer.parseInt(size), dataCentres);
      System.err.println("measuring " + scale.entries() + " entries");
      results.add(new SizeRound(scale, Duration.ofSeconds(seconds), changes, seed).run());
    }
    return results;
  }

  private List<StormResult> storms() {
    if (storm == 0) {
      return List.of();
    }
    System.err.println("restarting " + storm + " entries");
    BenchScale scale = new BenchScale(storm, dataCentres);
    return List.of(new StormRound(scale, Duration.ofMillis(restartPauseMs)).run());
  }
}
