package org.guavagw.cli.bench;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Arrays;
import java.util.Map;
import org.guavagw.cli.Program;

/** Chooses a bench by name. Stateless. */
public final class BenchCommand {
  private static final int USAGE_EXIT_CODE = 2;
  private static final Map<String, Program> BENCHES =
      ImmutableSortedMap.of("policy", PolicyBench::run);

  private BenchCommand() {}

  /** Runs the bench that the first argument names. */
  public static int run(String... args) {
    Program bench = args.length == 0 ? null : BENCHES.get(args[0]);
    if (bench == null) {
      System.err.println(
          "usage: guavagw bench " + String.join("|", BENCHES.keySet()) + " [options]");
      return USAGE_EXIT_CODE;
    }
    return bench.run(Arrays.copyOfRange(args, 1, args.length));
  }
}
