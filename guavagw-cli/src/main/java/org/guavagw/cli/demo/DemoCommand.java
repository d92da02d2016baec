package org.guavagw.cli.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.cli.local.LocalDeployment;
import org.guavagw.cli.local.LocalOptions;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs a local deployment under a bounded mixed load and reports the results of the callers. */
public final class DemoCommand {
  private static final int EXIT_CLEAN = 0;
  private static final int EXIT_VIOLATION = 1;
  private static final int EXIT_USAGE = 2;
  private static final Duration START_LIMIT = Duration.ofSeconds(30);

  @Option(name = "--deployment", usage = "nile-basin or swap-association")
  private String deployment = "nile-basin";

  @Option(name = "--seed", usage = "seed of the load")
  private long seed = 1;

  @Option(name = "--requests", usage = "number of requests to send")
  private int requests = 1_000;

  @Option(name = "--callers", usage = "number of concurrent requests")
  private int callers = 16;

  @Option(name = "--json", usage = "print the report as one line of JSON at the end")
  private boolean asJson;

  private DemoCommand() {}

  /** Runs the demo and returns the exit code. */
  public static int run(String... args) {
    DemoCommand command = new DemoCommand();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      return EXIT_USAGE;
    }
    return command.run(System.out);
  }

  private int run(PrintStream out) {
    Optional<Deployment> knownDeployment = Deployment.of(deployment);
    if (knownDeployment.isEmpty() || requests < 1 || callers < 1) {
      System.err.println("--deployment, --requests or --callers is not valid");
      return EXIT_USAGE;
    }
    DeploymentPlan plan = DeploymentPlan.of(knownDeployment.get());
    LocalOptions options = LocalOptions.standard(seed).withQuality(DemoQuality.of(seed));
    try (LocalDeployment local = new LocalDeployment(plan, options)) {
      if (!local.awaitReady(START_LIMIT)) {
        System.err.println("the entries did not become ready");
        return EXIT_VIOLATION;
      }
      return runLoad(out, local);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_VIOLATION;
    }
  }

  private int runLoad(PrintStream out, LocalDeployment local) throws InterruptedException {
    out.printf(
        "%s: %d entries, %d model engines, %d ledgers%n",
        deployment, local.entries().size(), local.engines().size(), local.ledgers().size());
    DemoLoad load = new DemoLoad(local, seed, requests, callers);
    DemoResultCollector results =
        load.run(done -> out.printf("  %d of %d requests%n", done, requests));
    local.entries().forEach(m -> m.entry().shutDown());
    DemoReport report = results.report(local);
    report.print(out);
    if (asJson) {
      out.println(new ObjectMapper().valueToTree(report));
    }
    return report.hasNoViolations() ? EXIT_CLEAN : EXIT_VIOLATION;
  }
}
