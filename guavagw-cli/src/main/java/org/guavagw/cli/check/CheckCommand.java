package org.guavagw.cli.check;

import com.google.common.base.Splitter;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.internal.entry.EntryHooks;
import org.guavagw.standins.history.Event;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.Violation;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Checks the invariants of the deployment in runs with seeded fault injection. */
public final class CheckCommand {
  private static final int EXIT_CLEAN = 0;
  private static final int EXIT_VIOLATION = 1;
  private static final int EXIT_USAGE = 2;
  private static final int MAX_PRINTED = 20;

  @Option(name = "--deployment", usage = "nile-basin or swap-association")
  private String deployment = "nile-basin";

  @Option(name = "--seed", usage = "seed of the first run")
  private long seed = 1;

  @Option(name = "--runs", usage = "number of runs; each run increments the seed")
  private int runs = 1;

  @Option(name = "--seconds", usage = "duration of the fault injection in each run")
  private int seconds = 12;

  @Option(name = "--callers", usage = "number of concurrent callers")
  private int callers = 12;

  @Option(name = "--faults", usage = "number of faults injected in each run")
  private int faults = 8;

  @Option(name = "--mutation", usage = "mechanism to disable, to verify that the check detects it")
  private String mutation = "";

  @Option(
      name = "--script",
      usage = "names of the faults to inject, separated by semicolons; default: drawn by seed")
  private String script = "";

  private CheckCommand() {}

  /** Runs the checks and returns the exit code. */
  public static int run(String... args) {
    CheckCommand command = new CheckCommand();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(args);
      return command.run(System.out);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      return EXIT_USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_VIOLATION;
    }
  }

  private int run(PrintStream out) throws InterruptedException {
    Optional<Deployment> knownDeployment = Deployment.of(deployment);
    Optional<EntryHooks> knownHooks = Mutations.find(mutation);
    if (knownDeployment.isEmpty() || knownHooks.isEmpty()) {
      System.err.println("unknown deployment or mutation; mutations: " + Mutations.names());
      return EXIT_USAGE;
    }
    int violations = 0;
    for (long s = seed; s < seed + runs; s++) {
      CheckSettings settings =
          new CheckSettings(
              DeploymentPlan.of(knownDeployment.get()).small(),
              s,
              Duration.ofSeconds(seconds),
              callers,
              faults,
              knownHooks.get(),
              Splitter.on(';').omitEmptyStrings().trimResults().splitToList(script));
      CheckResult result = new CheckRunner(settings).run();
      print(out, result);
      violations += result.violations().size();
    }
    out.printf("%d runs, %d violations%n", runs, violations);
    return violations == 0 ? EXIT_CLEAN : EXIT_VIOLATION;
  }

  private static void print(PrintStream out, CheckResult result) {
    History history = result.history();
    out.printf(
        "seed %d: %d answered, %d refused, %d cut, %d executions, %d bills, faults %s%n",
        result.seed(),
        history.of(Event.CallerAnswered.class).size(),
        history.of(Event.CallerRefused.class).size(),
        history.of(Event.CallerCut.class).size(),
        history.of(Event.ExecutionStarted.class).size(),
        history.of(Event.BillWritten.class).size(),
        result.faults());
    Map<String, Integer> counts = new TreeMap<>();
    result.violations().forEach(v -> counts.merge(v.invariant().name(), 1, Integer::sum));
    counts.forEach((invariant, count) -> out.printf("  %s: %d violations%n", invariant, count));
    result.violations().stream().limit(MAX_PRINTED).forEach(v -> print(out, v));
  }

  private static void print(PrintStream out, Violation violation) {
    out.printf(
        "    %s %s: %s%n", violation.invariant(), violation.reason(), violation.event().event());
  }
}
