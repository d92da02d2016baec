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
 * A command that makes a new configuration from the newest one and applies it. Not thread-safe.
 *
 * <p>Without {@code --expect-revision} the change is made on the revision that was just read.
 */
abstract class ChangeCommand extends CtlCommand {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Option(name = "--dry-run", usage = "only show what would change")
  private boolean dryRun;

  @Option(name = "--wait", usage = "wait until the change is in force in all data centres")
  private boolean waits;

  @Option(name = "--wait-seconds", depends = "--wait", usage = "how long to wait")
  private int waitSeconds = 30;

  @Option(name = "--change-id", usage = "a repeated change with the same id takes effect once")
  private String changeId = "";

  @Option(name = "--expect-revision", usage = "refuse if the newest revision is another")
  private long expectedRevision = -1;

  @Option(name = "--author", usage = "who makes the change")
  private String author = System.getProperty("user.name", "");

  @Option(name = "--comment", usage = "why")
  private String comment = "";

  /** The configuration wanted, given the newest one. */
  abstract Either<CtlFailure, GatewayConfig> edit(GatewayConfig newest);

  /** What an accepted or planned change did. Immutable. */
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
        .flatMap(wanted -> submit(client, revision, newest, wanted))
        .map(MAPPER::<JsonNode>valueToTree);
  }

  private Either<CtlFailure, Result> submit(
      AdminClient client, long revision, GatewayConfig newest, GatewayConfig wanted) {
    long expected = expectedRevision < 0 ? revision : expectedRevision;
    String id = changeId.isEmpty() ? ChangeDocument.idOf(wanted, expected) : changeId;
    List<ConfigDiff.Line> lines = ConfigDiff.between(newest, wanted);
    boolean isRepeatOrNew = !changeId.isEmpty() || expected != revision || !lines.isEmpty();
    if (dryRun || !isRepeatOrNew) {
      return Either.right(new Result(revision, id, false, List.of(), lines));
    }
    ChangeDocument change = new ChangeDocument(id, author, comment, expected, wanted);
    return client
        .apply(change)
        .map(a -> a.path("revision").asLong())
        .flatMap(r -> inForce(client, r).map(d -> new Result(r, id, true, d, lines)));
  }

  private Either<CtlFailure, List<String>> inForce(AdminClient client, long revision) {
    return waits ? new InForceWait(client, revision).await(waitSeconds) : Either.right(List.of());
  }

  private static Either<CtlFailure, GatewayConfig> checked(GatewayConfig wanted) {
    List<String> faults =
        ConfigValidator.faultsOf(wanted).stream().map(ConfigFault::toString).toList();
    return faults.isEmpty() ? Either.right(wanted) : Either.left(new CtlFailure.Invalid(faults));
  }

  private static Either<CtlFailure, GatewayConfig> read(JsonNode config) {
    try {
      return Either.right(MAPPER.treeToValue(config, GatewayConfig.class));
    } catch (JsonProcessingException e) {
      return Either.left(
          new CtlFailure.NotPossible(
              "the entry sent a configuration of another form: " + e.getOriginalMessage(),
              "use the client of the entry's release"));
    }
  }
}
