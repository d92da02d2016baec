package org.guavagw.cli.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Runs the policy scenarios with each seed, prints a table per scenario and one JSON line at the
 * end.
 *
 * <p>Stateless. Thread-safe except for the shared output streams.
 */
public final class PolicyBench {
  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;
  private static final int SCHEMA_VERSION = 1;

  private PolicyBench() {}

  /** Runs the bench; returns 0 whether or not the targets were met, and 2 for invalid usage. */
  public static int run(String... args) {
    return run(System.out, System.err, args);
  }

  static int run(PrintStream out, PrintStream err, String... args) {
    PolicyBenchOptions options = new PolicyBenchOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    Optional<Deployment> deployment = Deployment.of(options.deployment());
    if (deployment.isEmpty()) {
      err.println("unknown deployment: " + options.deployment());
      return EXIT_USAGE;
    }
    List<SeededSummary> summaries = new ArrayList<>();
    for (Scenario scenario : Scenarios.all()) {
      if (options.selects(scenario)) {
        summaries.add(runScenario(out, options, scenario, deployment.get()));
      }
    }
    out.println(
        json(new BenchReport(SCHEMA_VERSION, deployment.get(), options.seeds(), summaries)));
    return EXIT_OK;
  }

  private static SeededSummary runScenario(
      PrintStream out, PolicyBenchOptions options, Scenario scenario, Deployment deployment) {
    List<ScenarioReport> reports = new ArrayList<>();
    for (long seed : options.seeds()) {
      reports.add(scenario.run(deployment, seed));
    }
    SeededSummary summary = SeededSummary.of(reports);
    BenchTable.print(out, summary);
    if (options.out() != null) {
      plot(options.out(), deployment, reports.get(0));
    }
    return summary;
  }

  private static void plot(Path dir, Deployment deployment, ScenarioReport report) {
    try {
      Files.createDirectories(dir);
      String name = deployment.wireName() + "-" + report.scenario() + ".png";
      BenchPlot.write(report, dir.resolve(name));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String json(BenchReport report) {
    try {
      return JsonMapper.builder().build().writeValueAsString(report);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Content of the final JSON line. Immutable. Fields are added but never removed or renamed. */
  record BenchReport(
      int schema, Deployment deployment, List<Long> seeds, List<SeededSummary> scenarios) {}
}
