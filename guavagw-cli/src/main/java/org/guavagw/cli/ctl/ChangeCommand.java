package org.guavagw.cli.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.List;
import org.guavagw.config.ConfigFault;
import org.guavagw.config.ConfigValidator;
import org.guavagw.config.GatewayConfig;
import org.kohsuke.args4j.Option;

/**
 * A command that edits the newest configuration and applies the result. Not thread-safe.
 *
 * <p>Without {@code --expect-revision}, the change expects the revision that was just read.
 */
abstract class ChangeCommand extends CtlCommand {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Option(name = "--dry-run", usage = "print the changes without applying them")
  private boolean dryRun;

  @Option(name = "--wait", usage = "wait until the change is in force in all data centres")
  private boolean waitUntilInForce;

  @Option(name = "--wait-seconds", depends = "--wait", usage = "maximum time to wait")
  private int waitSeconds = 30;

  @Option(
      name = "--change-id",
      usage = "idempotency id; a resent change with the same id takes effect once")
  private String changeId = "";

  @Option(
      name = "--expect-revision",
      usage = "reject the change unless this is the newest revision")
  private long expectedRevision = -1;

  @Option(name = "--author", usage = "who makes the change")
  private String author = System.getProperty("user.name", "");

  @Option(name = "--comment", usage = "reason for the change")
  private String comment = "";

  /** Returns the newest configuration with the edit of this command. */
  abstract Either<CtlFailure, GatewayConfig> edit(GatewayConfig newest);

  /** Result of an accepted change or of a dry run. Immutable. */
  record Result(
      long revision, String changeId, boolean applied, List<String> dataCentres, List<?> changes) {}

  @Override
  final Either<CtlFailure, JsonNode> run(AdminClient client) {
    return client
        .get("/admin/v1/config")
        .flatMap(
            answer ->
                read(answer.path("config"))
                    .flatMap(newest -> change(client, answer.path("revision").asLong(), newest)));
  }

  private Either<CtlFailure, JsonNode> change(
      AdminClient client, long revision, GatewayConfig newest) {
    return edit(newest)
        .flatMap(ChangeCommand::checked)
        .flatMap(edited -> submit(client, revision, newest, edited))
        .map(MAPPER::<JsonNode>valueToTree);
  }

  private Either<CtlFailure, Result> submit(
      AdminClient client, long revision, GatewayConfig newest, GatewayConfig edited) {
    long expected = expectedRevision < 0 ? revision : expectedRevision;
    String id = changeId.isEmpty() ? ChangeDocument.idOf(edited, expected) : changeId;
    List<ConfigDiff.Line> lines = ConfigDiff.between(newest, edited);
    boolean mustSubmit = !changeId.isEmpty() || expected != revision || !lines.isEmpty();
    if (dryRun || !mustSubmit) {
      return Either.right(new Result(revision, id, false, List.of(), lines));
    }
    ChangeDocument change = new ChangeDocument(id, author, comment, expected, edited);
    return client
        .apply(change)
        .map(a -> a.path("revision").asLong())
        .flatMap(r -> inForce(client, r).map(d -> new Result(r, id, true, d, lines)));
  }

  private Either<CtlFailure, List<String>> inForce(AdminClient client, long revision) {
    return waitUntilInForce
        ? new InForcePoller(client, revision).await(waitSeconds)
        : Either.right(List.of());
  }

  private static Either<CtlFailure, GatewayConfig> checked(GatewayConfig edited) {
    List<String> faults =
        ConfigValidator.faultsOf(edited).stream().map(ConfigFault::toString).toList();
    return faults.isEmpty() ? Either.right(edited) : Either.left(new CtlFailure.Invalid(faults));
  }

  private static Either<CtlFailure, GatewayConfig> read(JsonNode config) {
    try {
      return Either.right(MAPPER.treeToValue(config, GatewayConfig.class));
    } catch (JsonProcessingException e) {
      return Either.left(
          new CtlFailure.InvalidState(
              "cannot parse the configuration that the entry sent: " + e.getOriginalMessage(),
              "use the guavagwctl of the entry's release"));
    }
  }
}
