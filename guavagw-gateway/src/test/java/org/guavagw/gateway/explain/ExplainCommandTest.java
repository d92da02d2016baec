package org.guavagw.gateway.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
  private static final String FIRST =
      """
      {"time":"2026-01-01T00:00:01Z","node":"n1","event":"dependency_lost","dependency":"store"}
      {"time":"2026-01-01T00:00:02Z","node":"n1","event":"attempt_sent","id":"r1","backend":"w1"}
      {"time":"2026-01-01T00:00:02Z","node":"n1","event":"attempt_sent","id":"r2","backend":"w1"}
      not a line of the log
      {"time":"2026-01-01T00:00:04Z","node":"n1","event":"request","id":"r1","outcome":"late"}
      {"time":"2026-01-01T00:01:04Z","node":"n1","event":"config_in_force","version":2}
      """;
  private static final String SECOND =
      """
      12.5 entry {"time":"2026-01-01T00:00:03Z","node":"n2","event":"attempt_failed","id":"r1"}
      """;

  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @Test
  void shouldMergeTheLinesOfSeveralEntriesInOrder() throws IOException {
    assertThat(explain("r1")).isZero();
    assertThat(text(out)).containsSubsequence("attempt_sent", "attempt_failed", "request");
    assertThat(text(out)).contains("ended as: late").doesNotContain("r2");
  }

  @Test
  void shouldIncludeOtherEventsAroundTheRequest() throws IOException {
    explain("r1");
    assertThat(text(out)).contains("dependency_lost").doesNotContain("config_in_force");
  }

  @Test
  void shouldReportThatNoLineHasTheId() throws IOException {
    assertThat(explain("r9")).isEqualTo(1);
    assertThat(text(err)).contains("no log line has the id r9");
  }

  @Test
  void shouldPrintItsUsage() {
    assertThat(ExplainCommand.run(stream(out), stream(err))).isEqualTo(2);
    assertThat(text(err)).contains("usage: guavagw explain ID LOG...");
  }

  private int explain(String id) throws IOException {
    Path first = Files.writeString(directory.resolve("first.log"), FIRST);
    Path second = Files.writeString(directory.resolve("second.log"), SECOND);
    return ExplainCommand.run(stream(out), stream(err), id, first.toString(), second.toString());
  }

  private static PrintStream stream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
