package org.guavagw.cli.ctl;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.guavagw.config.ConfigFault;
import org.guavagw.config.ConfigJson;
import org.guavagw.config.GatewayConfig;
import org.kohsuke.args4j.Argument;

/** Applies a whole configuration from a file or standard input. Not thread-safe. */
final class ApplyCommand extends ChangeCommand {
  private static final String STANDARD_INPUT = "-";

  @Argument(
      metaVar = "FILE",
      required = true,
      usage = "file with the configuration, or - for standard input")
  private String file;

  @Override
  Either<CtlFailure, GatewayConfig> edit(GatewayConfig newest) {
    return read().flatMap(ApplyCommand::parse);
  }

  private Either<CtlFailure, String> read() {
    try {
      byte[] content =
          file.equals(STANDARD_INPUT)
              ? System.in.readAllBytes()
              : Files.readAllBytes(Path.of(file));
      return Either.right(new String(content, StandardCharsets.UTF_8));
    } catch (IOException e) {
      return Either.left(new CtlFailure.Unreadable(file, e.toString()));
    }
  }

  private static Either<CtlFailure, GatewayConfig> parse(String text) {
    return ConfigJson.parse(text)
        .mapLeft(f -> new CtlFailure.Invalid(f.stream().map(ConfigFault::toString).toList()));
  }
}
