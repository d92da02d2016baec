package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Converts failures to messages for the operator. Stateless. */
final class FailureMessages {
  private FailureMessages() {}

  /** Returns the message as a JSON object. */
  static JsonNode json(FailureMessage message) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("exit", message.exit().name())
        .put("happened", message.happened())
        .put("why", message.why())
        .put("remedy", message.remedy());
  }

  static FailureMessage of(CtlFailure failure) {
    if (failure instanceof CtlFailure.Refused refused) {
      return ofRefusal(refused);
    }
    if (failure instanceof CtlFailure.Unreachable unreachable) {
      return new FailureMessage(
          ExitCode.UNREACHABLE,
          "no entry answered",
          String.join("; ", unreachable.errors()),
          "check the addresses given with --entry and the network, then run the command again");
    }
    if (failure instanceof CtlFailure.OutcomeUnknown unknown) {
      return ofUnknownOutcome(unknown.changeId(), unknown.reason());
    }
    return ofLocalFailure(failure);
  }

  private static FailureMessage ofLocalFailure(CtlFailure failure) {
    if (failure instanceof CtlFailure.Invalid invalid) {
      return refused(
          "the configuration was refused",
          "\n  " + String.join("\n  ", invalid.faults()),
          "correct each of the errors; nothing was changed");
    }
    if (failure instanceof CtlFailure.NotFound missing) {
      return refused(
          "nothing was changed",
          "the configuration has no " + missing.element(),
          "correct the name; `guavagwctl get` prints the configuration");
    }
    if (failure instanceof CtlFailure.InvalidState state) {
      return refused("nothing was changed", state.problem(), state.remedy());
    }
    if (failure instanceof CtlFailure.Unreadable file) {
      return refused(
          "could not read " + file.file(),
          file.reason(),
          "check the name and the permissions of the file");
    }
    if (failure instanceof CtlFailure.NotInForce late) {
      return new FailureMessage(
          ExitCode.UNREACHABLE,
          "revision " + late.revision() + " was accepted but is not yet in force everywhere",
          "waiting for " + String.join(", ", late.dataCentres()),
          "check `guavagwctl status`; the change need not be applied again");
    }
    String problem = failure instanceof CtlFailure.Usage usage ? usage.problem() : "" + failure;
    return new FailureMessage(
        ExitCode.USAGE, "invalid command line", problem, "see `guavagwctl help`");
  }

  private static FailureMessage ofRefusal(CtlFailure.Refused refused) {
    String by = " by " + refused.entry();
    return switch (refused.code()) {
      case "conflict" ->
          new FailureMessage(
              ExitCode.CONFLICT,
              "the change was not accepted" + by,
              "another change came first; " + refused.message(),
              "read the newest configuration, edit it and apply the result");
      case "outcome_unknown" -> ofUnknownOutcome("", refused.message());
      case "store_unavailable" ->
          new FailureMessage(
              ExitCode.UNREACHABLE,
              "the request was not executed" + by,
              "the platform's store cannot be reached: " + refused.message(),
              "run the command again when the store is reachable");
      case "unauthorized" ->
          refused(
              "the request was refused" + by,
              refused.message(),
              "pass the token with --token or GUAVAGW_ADMIN_TOKEN");
      case "invalid_config", "malformed_change" ->
          refused(
              "the configuration was refused" + by,
              "\n  " + refused.message().replace("\n", "\n  "),
              "correct each of the errors; nothing was changed");
      case "record_not_yet_written" ->
          refused(
              "the record was not found" + by,
              "the entry that handled the request may still hold it: " + refused.message(),
              "query that entry with --entry, or run the command again shortly");
      case "record_lost" ->
          refused(
              "the record is lost",
              "its entry stopped before writing it: " + refused.message(),
              "the record cannot be recovered; the bills show whether the request was charged");
      case "request_never_seen" ->
          refused(
              "the record was not found" + by,
              "no entry has issued this request id",
              "copy the id from the request id header of the answer");
      default ->
          refused(
              "the request was refused" + by,
              "HTTP " + refused.status() + " " + refused.message(),
              "check that --entry names the admin port of an entry");
    };
  }

  private static FailureMessage ofUnknownOutcome(String changeId, String reason) {
    String id = changeId.isEmpty() ? "the same --change-id" : "--change-id " + changeId;
    return new FailureMessage(
        ExitCode.OUTCOME_UNKNOWN,
        "the change may have been accepted or not",
        reason,
        "run the same command again with " + id + "; it takes effect at most once");
  }

  private static FailureMessage refused(String happened, String why, String remedy) {
    return new FailureMessage(ExitCode.REFUSED, happened, why, remedy);
  }
}
