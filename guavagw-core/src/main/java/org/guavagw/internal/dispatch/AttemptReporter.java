package org.guavagw.internal.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.guavagw.RunState;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.TokenUsage;
import org.guavagw.internal.explain.AttemptRecord;
import org.guavagw.internal.explain.CandidateKind;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.pipeline.AttemptCost;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.rollout.VersionOutcome;

/**
 * Reports the start and the result of each attempt to placement, the decision record, the bill and
 * the rollout monitor. Confined to the request's thread.
 */
final class AttemptReporter {
  private static final String WHOLE = "WHOLE";
  private static final String THREW = "THREW";
  private static final PriceConfig FREE = new PriceConfig(0, 0);

  private final DispatchDependencies dependencies;
  private final Exchange exchange;
  private final VersionRef version;

  AttemptReporter(DispatchDependencies dependencies, Exchange exchange) {
    this.dependencies = dependencies;
    this.exchange = exchange;
    this.version = exchange.requireVersion().ref();
  }

  void onStarted(String backendServer) {
    exchange.trace().chose(CandidateKind.BACKEND_SERVER, backendServer);
    dependencies.views().onDispatched(backendServer);
  }

  void onFinished(String backendServer, Optional<RelayReport> report, Duration took) {
    Optional<EngineFailure> failure = report.flatMap(RelayReport::failure);
    dependencies.views().onFinished(backendServer, outcomeOf(report));
    report.ifPresent(r -> addCost(backendServer, r));
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
      dependencies.outcomes().accept(outcomeOfVersion(failure.isPresent(), took));
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

  private static AttemptOutcome outcomeOf(Optional<RelayReport> report) {
    if (report.isEmpty()) {
      return AttemptOutcome.of(AttemptOutcome.Kind.FAILED);
    }
    Optional<EngineFailure> failure = report.get().failure();
    if (failure.isEmpty()) {
      return AttemptOutcome.completed(report.get().timeToFirstByte().toNanos());
    }
    return OutcomeMapper.toOutcome(failure.get());
  }

  private void addCost(String backendServer, RelayReport report) {
    boolean delivered =
        report.result() instanceof AttemptResult.Completed
            || (report.result() instanceof AttemptResult.Failed failed && failed.answerStarted());
    if (!delivered) {
      return;
    }
    TokenUsage usage =
        report.usage().isKnown() ? report.usage() : new TokenUsage(0, report.chunks());
    long cost = price().costMicros(usage.inputTokens(), usage.outputTokens());
    exchange.cost().add(new AttemptCost(version, backendServer, usage, cost));
  }

  private PriceConfig price() {
    return dependencies
        .guard()
        .config()
        .model(version.model())
        .map(ModelConfig::price)
        .orElse(FREE);
  }
}
