package org.guavagw.internal.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.guavagw.RunState;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.Usage;
import org.guavagw.internal.explain.AttemptRecord;
import org.guavagw.internal.explain.CandidateKind;
import org.guavagw.internal.limits.Outcome;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Spend;
import org.guavagw.internal.rollout.VersionOutcome;

/**
 * Tells those who learn from attempts what came of each: placement, the decision record, the bill
 * and the rollout monitor. Confined to the request's thread.
 */
final class AttemptJournal {
  private static final String WHOLE = "WHOLE";
  private static final String THREW = "THREW";
  private static final PriceConfig FREE = new PriceConfig(0, 0);

  private final DispatchParts parts;
  private final Exchange exchange;
  private final VersionRef version;

  AttemptJournal(DispatchParts parts, Exchange exchange) {
    this.parts = parts;
    this.exchange = exchange;
    this.version = exchange.requireVersion().ref();
  }

  void started(String backendServer) {
    exchange.trace().chose(CandidateKind.BACKEND_SERVER, backendServer);
    parts.views().onDispatched(backendServer);
  }

  void finished(String backendServer, Optional<RelayReport> report, Duration took) {
    Optional<EngineFailure> failure = report.flatMap(RelayReport::failure);
    parts.views().onFinished(backendServer, outcomeOf(report));
    report.ifPresent(r -> addSpend(backendServer, r));
    exchange
        .trace()
        .attempt(
            new AttemptRecord(
                backendServer,
                version.toString(),
                report.map(r -> failure.map(f -> f.kind().name()).orElse(WHOLE)).orElse(THREW),
                failure.map(EngineFailure::runState).orElse(RunState.RAN),
                took));
    if (report.isPresent() && countsForVersion(failure)) {
      parts.outcomes().accept(outcomeOfVersion(failure.isPresent(), took));
    }
  }

  private VersionOutcome outcomeOfVersion(boolean failed, Duration took) {
    String taskClass = exchange.requireTarget().name();
    return VersionOutcome.answered(version, taskClass, failed, took, OptionalDouble.empty());
  }

  private static boolean countsForVersion(Optional<EngineFailure> failure) {
    if (failure.isEmpty()) {
      return true;
    }
    return switch (failure.get().kind()) {
      case BROKEN, SILENT, MISMATCHED -> true;
      case NOT_SENT, REFUSED, REJECTED, TIMED_OUT, CANCELLED -> false;
    };
  }

  private static Outcome outcomeOf(Optional<RelayReport> report) {
    if (report.isEmpty()) {
      return Outcome.of(Outcome.Kind.FAILED);
    }
    Optional<EngineFailure> failure = report.get().failure();
    if (failure.isEmpty()) {
      return Outcome.completed(report.get().firstByte().toNanos());
    }
    return Outcomes.of(failure.get());
  }

  private void addSpend(String backendServer, RelayReport report) {
    boolean delivered =
        report.result() instanceof AttemptResult.Whole
            || (report.result() instanceof AttemptResult.Failed failed && failed.begun());
    if (!delivered) {
      return;
    }
    Usage usage = report.usage().isKnown() ? report.usage() : new Usage(0, report.chunks());
    long cost = price().costMicros(usage.inputTokens(), usage.outputTokens());
    exchange.spend().add(new Spend(version, backendServer, usage, cost));
  }

  private PriceConfig price() {
    return parts.guard().config().model(version.model()).map(ModelConfig::price).orElse(FREE);
  }
}
