package org.guavagw.cli.bench;

import java.io.PrintStream;
import java.util.Locale;

/** Prints a summary as a table. Stateless. */
final class BenchTable {
  private BenchTable() {}

  static void print(PrintStream out, SeededSummary summary) {
    out.println();
    out.println("== " + summary.scenario());
    for (PolicyResult result : summary.median()) {
      out.println(row(result));
    }
    for (SeededSummary.SummarisedTarget target : summary.targets()) {
      out.println(row(target));
    }
  }

  private static String row(PolicyResult result) {
    StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-22s", result.policy()));
    for (Figure f : result.figures()) {
      line.append(String.format(Locale.ROOT, " %s=%.4g%s", f.name(), f.value(), f.unit()));
    }
    return line.toString();
  }

  private static String row(SeededSummary.SummarisedTarget t) {
    return String.format(
        Locale.ROOT,
        "target %s: bound %.4g, median %.4g, mean %.4g, worst %.4g, met on %d of %d seeds",
        t.target(),
        t.bound(),
        t.median(),
        t.mean(),
        t.worst(),
        t.seedsMet(),
        t.seeds());
  }
}
