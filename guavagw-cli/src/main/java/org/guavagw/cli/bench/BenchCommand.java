package org.guavagw.cli.bench;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Arrays;
import java.util.Map;
import org.guavagw.cli.Program;
import org.guavagw.cli.bench.billing.BillingBench;
import org.guavagw.cli.bench.control.ControlBench;
import org.guavagw.cli.bench.jmh.DecisionBench;
import org.guavagw.cli.bench.relay.RelayBench;

/** Selects a bench by name. Stateless. */
public final class BenchCommand {
  private static final int USAGE_EXIT_CODE = 2;
  private static final Map<String, Program> BENCHES =
      ImmutableSortedMap.<String, Program>naturalOrder()
          .put("billing", BillingBench::run)
          .put("control", ControlBench::run)
          .put("decision", DecisionBench::run)
          .put("policy", PolicyBench::run)
          .put("relay", RelayBench::run)
          .build();

  private BenchCommand() {}

  /** Runs the bench named by the first argument and returns its exit code. */
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
