package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Commands that do not change the configuration. */
final class ReadCommands {
  private ReadCommands() {}

  /** Prints the newest configuration and its revision. Not thread-safe. */
  static final class Get extends CtlCommand {
    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      return client.get("/admin/v1/config");
    }
  }

  /** Lists the accepted revisions, newest first. Not thread-safe. */
  static final class History extends CtlCommand {
    @Option(name = "--limit", usage = "maximum number of revisions")
    private int limit = 20;

    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      return client.get("/admin/v1/history?limit=" + limit);
    }
  }

  /** Prints which revision is in force on each entry and in each data centre. Not thread-safe. */
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
          all.addObject().put("entry", entry).put("problem", FailureMessages.of(last).why());
        }
      }
      boolean answered = all.findValue("revision") != null;
      return answered ? Either.right(all) : Either.left(last);
    }
  }

  /** Prints the internal state of one entry. Not thread-safe. */
  static final class Dump extends CtlCommand {
    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      return client.get("/admin/v1/dump");
    }
  }

  /** Prints the decision record of a request. Not thread-safe. */
  static final class Explain extends CtlCommand {
    @Argument(metaVar = "REQUEST_ID", required = true)
    private String requestId;

    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      return requestId.matches("[A-Za-z0-9._~-]+")
          ? client.find("/admin/v1/explain/" + requestId)
          : Either.left(new CtlFailure.Usage("REQUEST_ID contains invalid characters"));
    }
  }

  /** Starts draining an entry, so that the load balancer stops selecting it. Not thread-safe. */
  static final class Drain extends CtlCommand {
    @Override
    Either<CtlFailure, JsonNode> run(AdminClient client) {
      if (client.entries().size() != 1) {
        return Either.left(new CtlFailure.Usage("drain requires exactly one --entry"));
      }
      return client.post(client.entries().get(0), "/admin/v1/drain");
    }
  }
}
