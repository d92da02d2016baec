package org.guavagw.cli;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Arrays;
import java.util.Map;
import org.guavagw.cli.bench.BenchCommand;
import org.guavagw.cli.check.CheckCommand;
import org.guavagw.cli.ctl.CtlProgram;
import org.guavagw.cli.demo.DemoCommand;
import org.guavagw.cli.entry.EntryCommand;
import org.guavagw.gateway.explain.ExplainCommand;

/** Entry point of all programs; the first argument is the program name. Stateless. */
public final class Main {
  private static final int USAGE_EXIT_CODE = 2;
  private static final Map<String, Program> PROGRAMS =
      ImmutableSortedMap.<String, Program>naturalOrder()
          .put("bench", BenchCommand::run)
          .put("check", CheckCommand::run)
          .put("ctl", CtlProgram::run)
          .put("demo", DemoCommand::run)
          .put("entry", EntryCommand::run)
          .put("explain", ExplainCommand::run)
          .build();

  private Main() {}

  /** Runs a program and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  static int run(String... args) {
    Program program = args.length == 0 ? null : PROGRAMS.get(args[0]);
    if (program == null) {
      System.err.println("usage: guavagw " + String.join("|", PROGRAMS.keySet()) + " [options]");
      return USAGE_EXIT_CODE;
    }
    return program.run(Arrays.copyOfRange(args, 1, args.length));
  }
}
