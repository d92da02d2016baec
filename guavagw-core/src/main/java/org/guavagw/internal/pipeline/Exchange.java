package org.guavagw.internal.pipeline;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.explain.DecisionTrace;
import org.guavagw.internal.service.ServiceAnswerSink;

/**
 * A request together with what the filters of its pipeline have established so far; each filter
 * passes on an extended copy. Immutable except for the trace, the cost and the sink, which are
 * confined to the request's thread.
 *
 * @param awaitRelease waits until it is decided whether the answer may start, and returns the
 *     decision
 * @param budgetMicros maximum cost of the request, in micro-units of currency
 */
public record Exchange(
    String requestId,
    Operation operation,
    RequestMetadata metadata,
    DecisionTrace trace,
    RequestCost cost,
    Optional<TeamConfig> team,
    Optional<Target> target,
    Optional<SelectedVersion> version,
    BooleanSupplier awaitRelease,
    long budgetMicros) {

  /** Creates the exchange of a request that has not passed any filter yet. */
  public static Exchange of(
      String requestId, Operation operation, RequestMetadata metadata, DecisionTrace trace) {
    return new Exchange(
        requestId,
        operation,
        metadata,
        trace,
        new RequestCost(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        () -> true,
        Long.MAX_VALUE);
  }

  /** Returns the chat request; only valid in the chat pipeline. */
  public Operation.Chat chat() {
    return (Operation.Chat) operation;
  }

  /** Returns the service call; only valid in the service pipeline. */
  public Operation.Service service() {
    return (Operation.Service) operation;
  }

  /** Returns the team; only valid after authentication. */
  public TeamConfig requireTeam() {
    return team.orElseThrow();
  }

  /** Returns the target; only valid after the filter that resolves it. */
  public Target requireTarget() {
    return target.orElseThrow();
  }

  /** Returns the version; only valid after the filter that selects it. */
  public SelectedVersion requireVersion() {
    return version.orElseThrow();
  }

  /** Returns a copy with the team that sent the request. */
  public Exchange withTeam(TeamConfig known) {
    return new Exchange(
        requestId,
        operation,
        metadata,
        trace,
        cost,
        Optional.of(known),
        target,
        version,
        awaitRelease,
        budgetMicros);
  }

  /** Returns a copy with the resolved target. */
  public Exchange withTarget(Target resolved) {
    return new Exchange(
        requestId,
        operation,
        metadata,
        trace,
        cost,
        team,
        Optional.of(resolved),
        version,
        awaitRelease,
        budgetMicros);
  }

  /** Returns a copy with the version that runs the request. */
  public Exchange withVersion(SelectedVersion selected) {
    return new Exchange(
        requestId,
        operation,
        metadata,
        trace,
        cost,
        team,
        target,
        Optional.of(selected),
        awaitRelease,
        budgetMicros);
  }

  /** Returns a copy of a chat request whose answer goes to another sink. */
  public Exchange withSink(AnswerSink sink) {
    Operation.Chat chat = new Operation.Chat(chat().request(), sink);
    return new Exchange(
        requestId, chat, metadata, trace, cost, team, target, version, awaitRelease, budgetMicros);
  }

  /** Returns a copy whose answer starts only if the check allows it. */
  public Exchange withRelease(BooleanSupplier check) {
    return new Exchange(
        requestId, operation, metadata, trace, cost, team, target, version, check, budgetMicros);
  }

  /** Returns a copy with the maximum cost of the request. */
  public Exchange withBudget(long micros) {
    return new Exchange(
        requestId, operation, metadata, trace, cost, team, target, version, awaitRelease, micros);
  }

  /** Returns a copy of a service call whose answer goes to another sink. */
  public Exchange withServiceSink(ServiceAnswerSink sink) {
    Operation.Service service = new Operation.Service(service().call(), sink);
    return new Exchange(
        requestId,
        service,
        metadata,
        trace,
        cost,
        team,
        target,
        version,
        awaitRelease,
        budgetMicros);
  }
}
