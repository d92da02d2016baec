package org.guavagw.cli.bench.control;

import com.google.common.base.Splitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Measures the cost of the control plane per entry at several scales. Used by one thread. */
public final class ControlBench {
  private static final int USAGE_ERROR = 2;

  @Option(name = "--sizes", usage = "comma-separated numbers of entries, one round each")
  private String sizes = "14,28,56,112";

  @Option(name = "--data-centres", usage = "number of data centres of the entries")
  private int dataCentres = 7;

  @Option(name = "--seconds", usage = "duration of the steady phase of each round")
  private int seconds = 20;

  @Option(name = "--changes", usage = "number of configuration changes of each kind in a round")
  private int changes = 20;

  @Option(name = "--seed", usage = "seed of the pauses between changes")
  private long seed = 1;

  @Option(
      name = "--storm",
      usage = "number of entries in the round of restarts and outages; 0 to skip it")
  private int storm = 0;

  @Option(name = "--restart-pause-ms", usage = "time between two restarts in that round")
  private int restartPauseMs = 300;

  private ControlBench() {}

  /** Runs the bench and returns the exit code. */
  public static int run(String... args) {
    ControlBench bench = new ControlBench();
    try {
      new CmdLineParser(bench).parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      e.getParser().printUsage(System.err);
      return USAGE_ERROR;
    }
    List<ScalingResult> rounds = bench.runRounds();
    List<SlopeFit> slopes = SlopeFit.all(rounds);
    BenchReport.printSlopes(slopes, System.out);
    BenchReport.printJson(rounds, bench.runDisruptions(), slopes, System.out);
    return 0;
  }

  private List<ScalingResult> runRounds() {
    List<ScalingResult> results = new ArrayList<>();
    for (String size : Splitter.on(',').trimResults().omitEmptyStrings().split(sizes)) {
      BenchScale scale = new BenchScale(Integer.parseInt(size), dataCentres);
      System.err.println("measuring " + scale.entries() + " entries");
      ScalingResult result =
          new ScalingRound(scale, Duration.ofSeconds(seconds), changes, seed).run();
      BenchReport.printRound(result, System.out);
      results.add(result);
    }
    return results;
  }

  private List<DisruptionResult> runDisruptions() {
    if (storm == 0) {
      return List.of();
    }
    System.err.println("restarting " + storm + " entries");
    BenchScale scale = new BenchScale(storm, dataCentres);
    DisruptionResult result = new DisruptionRound(scale, Duration.ofMillis(restartPauseMs)).run();
    BenchReport.printStorm(result, System.out);
    return List.of(result);
  }
}
