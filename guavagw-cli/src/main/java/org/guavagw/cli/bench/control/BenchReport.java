package org.guavagw.cli.bench.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;

/** Prints the rounds, the fitted slopes and a JSON line with all results. Stateless. */
final class BenchReport {
  private BenchReport() {}

  static void printSlopes(List<SlopeFit> slopes, PrintStream out) {
    out.printf(
        "%-36s %10s %12s %10s %8s %8s %12s%n",
        "per entry", "intercept", "slope/entry", "+-", "exponent", "+-", "at 350");
    slopes.forEach(f -> printFit(f, out));
  }

  static void printJson(
      List<ScalingResult> rounds,
      List<DisruptionResult> storms,
      List<SlopeFit> slopes,
      PrintStream out) {
    out.println(json(new Document(rounds, storms, slopes)));
  }

  static void printRound(ScalingResult result, PrintStream out) {
    BenchScale scale = result.scale();
    out.printf(
        "%n%d entries, %d data centres, %d backend servers, %d teams%n",
        scale.entries(), scale.dataCentres(), scale.backendServers(), scale.teams());
    result.perEntry().forEach((name, v) -> out.printf("  %-36s %10.2f%n", name, v));
    result
        .tableCallsPerSecond()
        .forEach((name, v) -> out.printf("  table calls/s, %-21s %10.2f%n", name, v));
    printQuantiles("in force, platform up", result.withPlatformMs(), out);
    printQuantiles("in force, platform down", result.withoutPlatformMs(), out);
  }

  private static void printQuantiles(String name, ScalingResult.Quantiles q, PrintStream out) {
    out.printf(
        "  %-36s p50 %.0f ms, p99 %.0f ms, max %.0f ms, %d samples%n",
        name, q.p50(), q.p99(), q.max(), q.samples());
  }

  static void printStorm(DisruptionResult result, PrintStream out) {
    out.printf(
        "%n%d entries, configuration of %d bytes compressed%n",
        result.scale().entries(), result.snapshotBytes());
    printPeaks("rolling restart", result.restart(), result.settledMs(), out);
    printPeaks("table service returns", result.storeReturn(), result.caughtUpMs(), out);
    printPeaks("data centre lost", result.dataCentreLost(), result.distrustedMs(), out);
  }

  private static void printPeaks(
      String name, PeakRateMeter.Peaks peaks, double ms, PrintStream out) {
    out.printf(
        "  %-22s peak bytes/s: entry %.0f, mean %.0f, peak table calls/s %.0f, recovered after"
            + " %.0f ms%n",
        name, peaks.entryBytes(), peaks.meanEntryBytes(), peaks.tableCalls(), ms);
  }

  private static void printFit(SlopeFit fit, PrintStream out) {
    out.printf(
        "%-36s %10.2f %12.4f %10.4f %8.2f %8.2f %12.2f%n",
        fit.name(),
        fit.intercept(),
        fit.slope(),
        fit.slopeError(),
        fit.exponent(),
        fit.exponentError(),
        fit.atFullSize());
  }

  private static String json(Document document) {
    try {
      return JsonMapper.builder().build().writeValueAsString(document);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Content of the JSON line. Immutable. */
  private record Document(
      List<ScalingResult> rounds, List<DisruptionResult> storms, List<SlopeFit> slopes) {}
}
