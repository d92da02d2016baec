package org.guavagw.internal.pipeline;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.guavagw.Refusal;
import org.guavagw.RunState;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.cascade.AnswerReport;
import org.guavagw.internal.cascade.CascadeObservation;
import org.guavagw.internal.cascade.CascadePlan;
import org.guavagw.internal.cascade.CascadePlanner;
import org.guavagw.internal.cascade.CascadeProgress;
import org.guavagw.internal.cascade.CascadeStep;
import org.guavagw.internal.cascade.CascadeVerdict;
import org.guavagw.internal.cascade.PlannedStep;
import org.guavagw.internal.chat.CascadeAnswerBuffer;
import org.guavagw.internal.chat.ChatCompletionBuilder;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.explain.CascadeStepRecord;
import org.guavagw.internal.rating.AnswerRater;
import org.guavagw.internal.rating.RatingObserver;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.AnswerSample;

/**
 * Runs one request through the steps of a cascade. Confined to the request's thread.
 *
 * <p>Invariants: the caller gets at most one answer. An answer is buffered until it is accepted,
 * except that of the last step, which is passed on directly. A refusal reports the request as not
 * run only if no step ran.
 */
final class CascadeExecution {
  private static final Duration RATING_TIMEOUT = Duration.ofMillis(400);

  private final ObjectMapper json;
  private final CascadePlanner planner;
  private final AnswerRater rater;
  private final RatingObserver observer;
  private final Clocks clocks;
  private final Exchange exchange;
  private final CascadePlan plan;
  private final List<Candidate> candidates;
  private final List<BufferedAnswer> bufferedAnswers = new ArrayList<>();
  private RunState runState = RunState.NOT_RUN;

  CascadeExecution(
      ObjectMapper json,
      CascadePlanner planner,
      AnswerRater rater,
      RatingObserver observer,
      Clocks clocks,
      Exchange exchange,
      CascadePlan plan,
      List<Candidate> candidates) {
    this.json = json;
    this.planner = planner;
    this.rater = rater;
    this.observer = observer;
    this.clocks = clocks;
    this.exchange = exchange;
    this.plan = plan;
    this.candidates = candidates;
  }

  /** A model of the cascade with the version selected for this request. Immutable. */
  record Candidate(SelectedVersion version, CascadeStep step) {}

  /** An answer that has not been passed on to the caller yet. Immutable. */
  private record BufferedAnswer(
      CascadeAnswerBuffer buffer, CompletedAnswer completed, AnswerReport report) {}

  Either<Refusal, CompletedAnswer> run(FilterChain next) {
    PlannedStep step = plan.first();
    for (int nextStep = 1; nextStep < plan.steps().size(); nextStep++) {
      Either<Refusal, BufferedAnswer> answer = runBufferedStep(step, next);
      if (answer.isLeft()) {
        runState = runState.join(answer.getLeft().runState());
        step = plan.steps().get(nextStep);
        continue;
      }
      bufferedAnswers.add(answer.get());
      observeQuality(step.step().version());
      CascadeVerdict verdict = planner.afterAnswer(progress());
      if (verdict instanceof CascadeVerdict.Escalate escalate) {
        step = escalate.next();
        continue;
      }
      return release(verdict);
    }
    return runFinalStep(step, next);
  }

  private void observeQuality(VersionRef version) {
    int newest = bufferedAnswers.size() - 1;
    AnswerReport report = bufferedAnswers.get(newest).report();
    OptionalDouble previous =
        newest == 0
            ? OptionalDouble.empty()
            : OptionalDouble.of(planner.qualityOf(progress(), newest - 1));
    report
        .rating()
        .ifPresent(
            r ->
                planner.observe(
                    new CascadeObservation(
                        exchange.requireTarget().name(),
                        version,
                        previous,
                        r,
                        report.engineSignal())));
  }

  private Either<Refusal, BufferedAnswer> runBufferedStep(PlannedStep step, FilterChain next) {
    Candidate candidate = candidates.get(step.index());
    CascadeAnswerBuffer buffer = new CascadeAnswerBuffer(exchange.chat().sink());
    long spentBefore = exchange.cost().totalMicros();
    return next.proceed(exchange.withVersion(candidate.version()).withSink(buffer))
        .map(completed -> rate(step, buffer, completed, spentBefore));
  }

  private BufferedAnswer rate(
      PlannedStep step, CascadeAnswerBuffer buffer, CompletedAnswer completed, long spentBefore) {
    VersionRef version = step.step().version();
    OptionalDouble rating = rater.rate(sampleOf(version, buffer), ratingTimeout());
    rating.ifPresent(
        r ->
            observer.onRated(
                exchange.requireTeam().id(), exchange.requireTarget().name(), version, r));
    long cost = exchange.cost().totalMicros() - spentBefore;
    exchange
        .trace()
        .step(new CascadeStepRecord(version.model(), version.version(), rating, cost, false));
    AnswerReport report = new AnswerReport(step.index(), rating, OptionalDouble.empty());
    return new BufferedAnswer(buffer, completed, report);
  }

  private Either<Refusal, CompletedAnswer> runFinalStep(PlannedStep step, FilterChain next) {
    Candidate candidate = candidates.get(step.index());
    long spentBefore = exchange.cost().totalMicros();
    Either<Refusal, CompletedAnswer> result =
        next.proceed(exchange.withVersion(candidate.version()));
    VersionRef version = step.step().version();
    long cost = exchange.cost().totalMicros() - spentBefore;
    exchange
        .trace()
        .step(
            new CascadeStepRecord(
                version.model(),
                version.version(),
                OptionalDouble.empty(),
                cost,
                result.isRight()));
    boolean canFallBack =
        result.isLeft() && !exchange.chat().sink().hasBegun() && !bufferedAnswers.isEmpty();
    if (canFallBack) {
      return release(bufferedAnswers.get(bufferedAnswers.size() - 1));
    }
    RunState earlier = bufferedAnswers.isEmpty() ? runState : RunState.RAN;
    return result.mapLeft(refusal -> refusal.withEarlierAttempts(earlier));
  }

  private Either<Refusal, CompletedAnswer> release(CascadeVerdict verdict) {
    if (verdict instanceof CascadeVerdict.Accept accept) {
      return release(bufferedAnswers.get(accept.answer()));
    }
    return release(bufferedAnswers.get(((CascadeVerdict.Stop) verdict).answer()));
  }

  private static Either<Refusal, CompletedAnswer> release(BufferedAnswer answer) {
    answer.buffer().release();
    return Either.right(answer.completed());
  }

  private CascadeProgress progress() {
    List<AnswerReport> reports = bufferedAnswers.stream().map(BufferedAnswer::report).toList();
    long budgetLeft = exchange.budgetMicros() - exchange.cost().totalMicros();
    return new CascadeProgress(plan, reports, timeLeft(), budgetLeft);
  }

  private AnswerSample sampleOf(VersionRef version, CascadeAnswerBuffer buffer) {
    ChatCompletionBuilder completion = new ChatCompletionBuilder(json);
    for (EngineChunk chunk : buffer.chunks()) {
      completion.add(chunk);
    }
    return new AnswerSample(
        exchange.requestId(),
        exchange.requireTarget().name(),
        version,
        exchange.chat().request().prompt(),
        completion.text());
  }

  private Duration ratingTimeout() {
    Duration left = timeLeft();
    return left.compareTo(RATING_TIMEOUT) < 0 ? left : RATING_TIMEOUT;
  }

  private Duration timeLeft() {
    return Duration.ofNanos(exchange.metadata().deadlineNanos() - clocks.monotonic().read());
  }
}
