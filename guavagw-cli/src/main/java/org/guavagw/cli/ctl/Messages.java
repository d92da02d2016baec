package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Composes all messages about failures. Stateless. */
final class Messages {
  private Messages() {}

  /** The message as one JSON object. */
  static JsonNode json(Message message) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("exit", message.exit().name())
        .put("happened", message.happened())
        .put("why", message.why())
        .put("remedy", message.remedy());
  }

  static Message of(CtlFailure failure) {
    if (failure instanceof CtlFailure.Refused refused) {
      return ofRefusal(refused);
    }
    if (failure instanceof CtlFailure.Unreachable unreachable) {
      return new Message(
          ExitCode.UNREACHABLE,
          "no entry answered",
          String.join("; ", unreachable.tried()),
          "check the addresses given with --entry and the network, then run the command again");
    }
    if (failure instanceof CtlFailure.OutcomeUnknown unknown) {
      return ofUnknown(unknown.changeId(), unknown.reason());
    }
    return ofInput(failure);
  }

  private static Message ofInput(CtlFailure failure) {
    if (failure instanceof CtlFailure.Invalid invalid) {
      return refused(
          "the configuration was refused",
          "\n  " + String.join("\n  ", invalid.faults()),
          "correct each of the faults; nothing was changed");
    }
    if (failure instanceof CtlFailure.NotThere missing) {
      return refused(
          "nothing was changed",
          "there is no " + missing.what(),
          "correct the name; `guavagwctl get` shows what there is");
    }
    if (failure instanceof CtlFailure.NotPossible state) {
      return refused("nothing was changed", state.what(), state.remedy());
    }
    if (failure instanceof CtlFailure.Unreadable file) {
      return refused("could not read " + file.file(), file.reason(), "correct the file's name");
    }
    if (failure instanceof CtlFailure.NotInForce late) {
      return new Message(
          ExitCode.UNREACHABLE,
          "revision " + late.revision() + " was accepted but is not yet in force everywhere",
          "waiting for " + String.join(", ", late.dataCentres()),
          "look at `guavagwctl status`; the change needs no second apply");
    }
    String problem = failure instanceof CtlFailure.Usage usage ? usage.problem() : "" + failure;
    return new Message(
        ExitCode.USAGE, "the command line is wrong", problem, "see `guavagwctl help`");
  }

  private static Message ofRefusal(CtlFailure.Refused refused) {
    String by = " by " + refused.entry();
    return switch (refused.code()) {
      case "conflict" ->
          new Message(
              ExitCode.CONFLICT,
              "the change was not accepted" + by,
              "another change came first; " + refused.message(),
              "read the configuration again, make the change on it and apply that");
      case "outcome_unknown" -> ofUnknown("", refused.message());
      case "store_unavailable" ->
          new Message(
              ExitCode.UNREACHABLE,
              "the call was not carried out" + by,
              "the platform's store cannot be reached: " + refused.message(),
              "wait for the store and run the command again");
      case "unauthorized" ->
          refused(
              "the call was refused" + by,
              refused.message(),
              "give the token with --token or GUAVAGW_ADMIN_TOKEN");
      case "invalid_config", "malformed_change" ->
          refused(
              "the configuration was refused" + by,
              "\n  " + refused.message().replace("\n", "\n  "),
              "correct each of the faults; nothing was changed");
      case "record_not_yet_written" ->
          refused(
              "the record was not found" + by,
              "the entry that handled the request may still hold it: " + refused.message(),
              "ask that entry with --entry, or ask again shortly");
      case "record_lost" ->
          refused(
              "the record is lost",
              "it was not written before its entry went: " + refused.message(),
              "nothing can bring it back; bills tell whether the request was paid for");
      case "request_never_seen" ->
          refused(
              "the record was not found" + by,
              "no entry made such a request id",
              "copy the id from the answer's request id header");
      default ->
          refused(
              "the call was refused" + by,
              "HTTP " + refused.status() + " " + refused.message(),
              "check that --entry names the operators' port of an entry");
    };
  }

  private static Message ofUnknown(String changeId, String reason) {
    String id = changeId.isEmpty() ? "the same --change-id" : "--change-id " + changeId;
    return new Message(
        ExitCode.OUTCOME_UNKNOWN,
        "the change may have been accepted or not",
        reason,
        "run the same command again with " + id + "; it takes effect at most once");
  }

  private static Message refused(String happened, String why, String remedy) {
    return new Message(ExitCode.REFUSED, happened, why, remedy);
  }
}
