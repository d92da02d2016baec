package org.guavagw.cli.bench.jmh;

import java.util.concurrent.TimeUnit;
import org.guavagw.internal.placement.Placement;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Measures the cost of decisions with 7 versions of 3 models and 100 teams for several numbers of
 * backend servers. Runs without forks, because the program must not start other processes. Used by
 * one thread.
 */
public class DecisionBench {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final String[] BACKEND_SERVERS = {"100", "400", "830", "1600"};

  /** Measures a complete decision. */
  @Benchmark
  @BenchmarkMode(Mode.SampleTime)
  @OutputTimeUnit(TimeUnit.MICROSECONDS)
  public Placement decision(DecisionState state) {
    return state.decide();
  }

  /** Measures only the choice of a backend server. */
  @Benchmark
  @BenchmarkMode(Mode.SampleTime)
  @OutputTimeUnit(TimeUnit.MICROSECONDS)
  public Placement placement(DecisionState state) {
    return state.place();
  }

  /** Runs the bench and prints its results; returns 0 on success, 1 on failure, 2 on bad usage. */
  public static int run(String... args) {
    DecisionBenchOptions options = new DecisionBenchOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
      new Runner(jmhOptions(options)).run();
      return EXIT_OK;
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      return EXIT_USAGE;
    } catch (RunnerException e) {
      System.err.println(e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static Options jmhOptions(DecisionBenchOptions options) {
    return new OptionsBuilder()
        .include(DecisionBench.class.getName())
        .param("backendServers", BACKEND_SERVERS)
        .forks(0)
        .warmupIterations(options.iterations())
        .warmupTime(TimeValue.seconds(options.seconds()))
        .measurementIterations(options.iterations())
        .measurementTime(TimeValue.seconds(options.seconds()))
        .addProfiler(GCProfiler.class)
        .build();
  }
}
