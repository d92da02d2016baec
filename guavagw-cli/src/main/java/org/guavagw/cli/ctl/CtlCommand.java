package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Strings;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** A command of {@code guavagwctl} and the options common to all commands. Not thread-safe. */
abstract class CtlCommand {
  private static final String TOKEN_VARIABLE = "GUAVAGW_ADMIN_TOKEN";

  @Option(
      name = "--entry",
      metaVar = "HOST:PORT",
      usage = "address of an entry's admin port; may be repeated")
  private List<String> entries = new ArrayList<>();

  @Option(name = "--token", usage = "admin token; default: the value of " + TOKEN_VARIABLE)
  private String token = Strings.nullToEmpty(System.getenv(TOKEN_VARIABLE));

  @Option(name = "--output", usage = "output format: table or json")
  private OutputFormat output = OutputFormat.TABLE;

  abstract Either<CtlFailure, JsonNode> run(AdminClient client);

  OutputFormat output() {
    return output;
  }

  Either<CtlFailure, AdminClient> connect() {
    if (entries.isEmpty()) {
      return Either.left(new CtlFailure.Usage("--entry HOST:PORT is missing"));
    }
    boolean wellFormed = entries.stream().allMatch(e -> e.matches("[^\\s/@:]+:\\d{1,5}"));
    return wellFormed
        ? Either.right(new AdminClient(entries, token))
        : Either.left(new CtlFailure.Usage("--entry must have the form HOST:PORT"));
  }
}
