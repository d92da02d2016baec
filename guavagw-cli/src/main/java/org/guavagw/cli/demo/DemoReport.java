package org.guavagw.cli.demo;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.PrintStream;

/** Report of a demo run. The JSON names are part of its stable format. Immutable. */
record DemoReport(
    @JsonProperty("requests") long requests,
    @JsonProperty("answered") long answered,
    @JsonProperty("refused") long refused,
    @JsonProperty("cut") long cut,
    @JsonProperty("unbilled") long unbilled,
    @JsonProperty("double_billed") long doubleBilled,
    @JsonProperty("not_allowed") long notAllowed,
    @JsonProperty("ran_twice") long ranTwice) {

  boolean hasNoViolations() {
    return cut + unbilled + doubleBilled + notAllowed + ranTwice == 0;
  }

  void print(PrintStream out) {
    printRow(out, "requests", requests);
    printRow(out, "answered", answered);
    printRow(out, "refused", refused);
    printRow(out, "cut", cut);
    printRow(out, "unbilled", unbilled);
    printRow(out, "double billed", doubleBilled);
    printRow(out, "not allowed", notAllowed);
    printRow(out, "ran twice", ranTwice);
  }

  private static void printRow(PrintStream out, String name, long value) {
    out.printf("  %-14s %8d%n", name, value);
  }
}
