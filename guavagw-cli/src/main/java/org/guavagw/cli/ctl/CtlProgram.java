package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The operators' client {@code guavagwctl}; the first argument is the command. Stateless. */
public final class CtlProgram {
  private static final Map<String, Supplier<CtlCommand>> COMMANDS =
      ImmutableSortedMap.<String, Supplier<CtlCommand>>naturalOrder()
          .put("apply", ApplyCommand::new)
          .put("backend-server", EditCommands.BackendServer::new)
          .put("data-centre", EditCommands.DataCentre::new)
          .put("drain", ReadCommands.Drain::new)
          .put("dump", ReadCommands.Dump::new)
          .put("explain", ReadCommands.Explain::new)
          .put("get", ReadCommands.Get::new)
          .put("history", ReadCommands.History::new)
          .put("rollout", RolloutCommand::new)
          .put("status", ReadCommands.Status::new)
          .put("withdraw", EditCommands.Withdraw::new)
          .build();

  private CtlProgram() {}

  /** Runs a command and returns the exit code. */
  public static int run(String... args) {
    return run(System.out, System.err, args);
  }

  /** Runs a command that prints to the given streams and returns the exit code. */
  public static int run(PrintStream out, PrintStream err, String... args) {
    Supplier<CtlCommand> factory = args.length == 0 ? null : COMMANDS.get(args[0]);
    if (factory == null) {
      err.println("usage: guavagwctl " + String.join("|", COMMANDS.keySet()) + " [options]");
      return ExitCode.USAGE.code();
    }
    CtlCommand command = factory.get();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
    } catch (CmdLineException e) {
      err.println(FailureMessages.of(new CtlFailure.Usage(String.valueOf(e.getMessage()))));
      parser.printUsage(err);
      return ExitCode.USAGE.code();
    }
    return report(command, execute(command), out, err);
  }

  private static Either<CtlFailure, JsonNode> execute(CtlCommand command) {
    return command
        .connect()
        .flatMap(
            client -> {
              try (client) {
                return command.run(client);
              }
            });
  }

  private static int report(
      CtlCommand command, Either<CtlFailure, JsonNode> result, PrintStream out, PrintStream err) {
    if (result.isRight()) {
      out.println(command.output().render(result.get()));
      return ExitCode.OK.code();
    }
    FailureMessage message = FailureMessages.of(result.getLeft());
    err.println(command.output() == OutputFormat.JSON ? FailureMessages.json(message) : message);
    return message.exit().code();
  }
}
