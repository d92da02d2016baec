package org.guavagw.internal.pipeline;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.explain.DecisionTrace;
import org.guavagw.internal.service.ServiceSink;

/**
 * A request on its way through the filters. Each filter passes on a copy that knows more. Immutable
 * but for the trace, the spend meter and the sink, which are confined to the request's thread.
 *
 * @param release waits until the answer may start, and says whether it may
 * @param budgetMicros what the request may spend, in micro-units of currency
 */
public record Exchange(
    String requestId,
    Work work,
    CallerTerms terms,
    DecisionTrace trace,
    SpendMeter spend,
    Optional<TeamConfig> team,
    Optional<Target> target,
    Optional<VersionPick> version,
    BooleanSupplier release,
    long budgetMicros) {

  /** A request that no filter has seen yet. */
  public static Exchange arrived(
      String requestId, Work work, CallerTerms terms, DecisionTrace trace) {
    return new Exchange(
        requestId,
        work,
        terms,
        trace,
        new SpendMeter(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        () -> true,
        Long.MAX_VALUE);
  }

  /** The chat request; only for the chat pipeline. */
  public Work.Chat chat() {
    return (Work.Chat) work;
  }

  /** The service call; only for the service pipeline. */
  public Work.Service service() {
    return (Work.Service) work;
  }

  /** The team; only behind authentication. */
  public TeamConfig requireTeam() {
    return team.orElseThrow();
  }

  /** The target; only behind the filter that resolves it. */
  public Target requireTarget() {
    return target.orElseThrow();
  }

  /** The version; only behind the filter that picks it. */
  public VersionPick requireVersion() {
    return version.orElseThrow();
  }

  /** The same request, sent by a known team. */
  public Exchange withTeam(TeamConfig known) {
    return new Exchange(
        requestId,
        work,
        terms,
        trace,
        spend,
        Optional.of(known),
        target,
        version,
        release,
        budgetMicros);
  }

  /** The same request with its target resolved. */
  public Exchange withTarget(Target resolved) {
    return new Exchange(
        requestId,
        work,
        terms,
        trace,
        spend,
        team,
        Optional.of(resolved),
        version,
        release,
        budgetMicros);
  }

  /** The same request with the version that runs it. */
  public Exchange withVersion(VersionPick picked) {
    return new Exchange(
        requestId,
        work,
        terms,
        trace,
        spend,
        team,
        target,
        Optional.of(picked),
        release,
        budgetMicros);
  }

  /** The same chat request with its answer going elsewhere. */
  public Exchange withSink(AnswerSink sink) {
    Work.Chat chat = new Work.Chat(chat().request(), sink);
    return new Exchange(
        requestId, chat, terms, trace, spend, team, target, version, release, budgetMicros);
  }

  /** The same request, whose answer starts only once the gate opens. */
  public Exchange withRelease(BooleanSupplier gate) {
    return new Exchange(
        requestId, work, terms, trace, spend, team, target, version, gate, budgetMicros);
  }

  /** The same request with what it may spend. */
  public Exchange withBudget(long micros) {
    return new Exchange(
        requestId, work, terms, trace, spend, team, target, version, release, micros);
  }

  /** The same service call with its answer going elsewhere. */
  public Exchange withServiceSink(ServiceSink sink) {
    Work.Service service = new Work.Service(service().call(), sink);
    return new Exchange(
        requestId, service, terms, trace, spend, team, target, version, release, budgetMicros);
  }
}
