package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Commands that change no configuration. */
final class ReadCommands {
  private ReadCommands() {}

  /** Prints the newest configuration and its revision. Not thread-safe. */
  static final class Get extends CtlCommand {
    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      return client.get("/admin/v1/config");
    }
  }

  /** Lists accepted revisions, newest first. Not thread-safe. */
  static final class History extends CtlCommand {
    @Option(name = "--limit", usage = "how many revisions")
    private int limit = 20;

    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      return client.get("/admin/v1/history?limit=" + limit);
    }
  }

  /** Shows which revision is in force at each entry and in each data centre. Not thread-safe. */
  static final class Status extends CtlCommand {
    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      ArrayNode all = JsonNodeFactory.instance.arrayNode();
      CtlFailure last = new CtlFailure.Usage("no entry");
      for (String entry : client.entries()) {
        Either<CtlFailure, JsonNode> one = client.from(entry, "/admin/v1/status");
        if (one.isRight()) {
          all.add(one.get());
        } else {
          last = one.getLeft();
          all.addObject().put("entry", entry).put("problem", Messages.of(last).why());
        }
      }
      boolean answered = all.findValue("revision") != null;
      return answered ? Either.right(all) : Either.left(last);
    }
  }

  /** Prints the state of one entry. Not thread-safe. */
  static final class Dump extends CtlCommand {
    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      return client.get("/admin/v1/dump");
    }
  }

  /** Prints why a request was answered as it was. Not thread-safe. */
  static final class Explain extends CtlCommand {
    @Argument(metaVar = "REQUEST_ID", required = true)
    private String requestId;

    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      return requestId.matches("[A-Za-z0-9._~-]+")
          ? client.find("/admin/v1/explain/" + requestId)
          : Either.left(new CtlFailure.Usage("REQUEST_ID has characters that no id has"));
    }
  }

  /** Takes an entry out of the balancer's choice. Not thread-safe. */
  static final class Drain extends CtlCommand {
    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      if (client.entries().size() != 1) {
        return Either.left(new CtlFailure.Usage("drain takes exactly one --entry"));
      }
      return client.post(client.entries().get(0), "/admin/v1/drain");
    }
  }
}
