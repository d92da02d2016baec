package org.guavagw.cli.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EntryCommandTest {
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @Test
  void shouldReportEveryInvalidSetting() {
    int exit = run(Map.of(), "--id", "e1", "--caller-port", "70000");

    assertThat(exit).isEqualTo(2);
    assertThat(lines())
        .contains("--data-centre is missing", "--caller-port is not between", "--table-url is not")
        .doesNotContain("--id is missing");
  }

  @Test
  void shouldReadSettingsFromTheEnvironmentAndGiveFlagsPrecedence() {
    int exit =
        run(
            Map.of("GUAVAGW_DATA_CENTRE", "aswan-hq", "GUAVAGW_ADMIN_PORT", "0"),
            "--id",
            "e1",
            "--admin-port",
            "8081");

    assertThat(exit).isEqualTo(2);
    assertThat(lines()).doesNotContain("--data-centre is missing").doesNotContain("--admin-port");
  }

  @Test
  void shouldRefuseAnUnknownFlag() {
    assertThat(run(Map.of(), "--no-such-flag")).isEqualTo(2);
  }

  private int run(Map<String, String> environment, String... args) {
    PrintStream out = new PrintStream(err, true, StandardCharsets.UTF_8);
    return EntryCommand.run(environment, out, args);
  }

  private String lines() {
    return err.toString(StandardCharsets.UTF_8);
  }
}
