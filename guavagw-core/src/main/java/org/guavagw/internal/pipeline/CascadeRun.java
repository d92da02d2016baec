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
import org.guavagw.internal.chat.AnswerText;
import org.guavagw.internal.chat.BufferedAnswer;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.explain.CascadeStepRecord;
import org.guavagw.internal.rating.AnswerRater;
import org.guavagw.internal.rating.RatingObserver;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.AnswerSample;

/**
 * One request's way through a cascade. Confined to the request's thread.
 *
 * <p>Invariants: the caller sees at most one answer; it is held back until it is accepted, unless
 * no further step may follow it. A refusal says that the request was not run only if no step ran.
 */
final class CascadeRun {
  private static final Duration RATING_PATIENCE = Duration.ofMillis(400);

  private final ObjectMapper json;
  private final CascadePlanner planner;
  private final AnswerRater rater;
  private final RatingObserver observer;
  private final Clocks clocks;
  private final Exchange exchange;
  private final CascadePlan plan;
  private final List<Option> options;
  private final List<Held> held = new ArrayList<>();
  private RunState runState = RunState.NOT_RUN;

  CascadeRun(
      ObjectMapper json,
      CascadePlanner planner,
      AnswerRater rater,
      RatingObserver observer,
      Clocks clocks,
      Exchange exchange,
      CascadePlan plan,
      List<Option> options) {
    this.json = json;
    this.planner = planner;
    this.rater = rater;
    this.observer = observer;
    this.clocks = clocks;
    this.exchange = exchange;
    this.plan = plan;
    this.options = options;
  }

  /** A model of the cascade with the version chosen for this request; immutable. */
  record Option(VersionPick pick, CascadeStep step) {}

  /** An answer that the caller has not seen yet. */
  private record Held(BufferedAnswer buffer, Answered answered, AnswerReport report) {}

  Either<Refusal, Answered> run(Next next) {
    PlannedStep step = plan.first();
    for (int tried = 1; tried < plan.steps().size(); tried++) {
      Either<Refusal, Held> answer = runHeld(step, next);
      if (answer.isLeft()) {
        runState = runState.join(answer.getLeft().runState());
        step = plan.steps().get(tried);
        continue;
      }
      held.add(answer.get());
      learn(step.step().version());
      CascadeVerdict verdict = planner.afterAnswer(progress());
      if (verdict instanceof CascadeVerdict.Escalate escalate) {
        step = escalate.next();
        continue;
      }
      return release(verdict);
    }
    return runLast(step, next);
  }

  private void learn(VersionRef version) {
    int newest = held.size() - 1;
    AnswerReport report = held.get(newest).report();
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

  private Either<Refusal, Held> runHeld(PlannedStep step, Next next) {
    Option option = options.get(step.index());
    BufferedAnswer buffer = new BufferedAnswer(exchange.chat().sink());
    long spentBefore = exchange.spend().totalMicros();
    return next.proceed(exchange.withVersion(option.pick()).withSink(buffer))
        .map(answered -> judge(step, buffer, answered, spentBefore));
  }

  private Held judge(PlannedStep step, BufferedAnswer buffer, Answered answered, long spentBefore) {
    VersionRef version = step.step().version();
    OptionalDouble rating = rater.rate(sampleOf(version, buffer), patience());
    rating.ifPresent(
        r ->
            observer.rated(
                exchange.requireTeam().id(), exchange.requireTarget().name(), version, r));
    long cost = exchange.spend().totalMicros() - spentBefore;
    exchange
        .trace()
        .step(new CascadeStepRecord(version.model(), version.version(), rating, cost, false));
    AnswerReport report = new AnswerReport(step.index(), rating, OptionalDouble.empty());
    return new Held(buffer, answered, report);
  }

  private Either<Refusal, Answered> runLast(PlannedStep step, Next next) {
    Option option = options.get(step.index());
    long spentBefore = exchange.spend().totalMicros();
    Either<Refusal, Answered> result = next.proceed(exchange.withVersion(option.pick()));
    VersionRef version = step.step().version();
    long cost = exchange.spend().totalMicros() - spentBefore;
    exchange
        .trace()
        .step(
            new CascadeStepRecord(
                version.model(),
                version.version(),
                OptionalDouble.empty(),
                cost,
                result.isRight()));
    boolean canFallBack = result.isLeft() && !exchange.chat().sink().hasBegun() && !held.isEmpty();
    if (canFallBack) {
      return release(held.get(held.size() - 1));
    }
    RunState earlier = held.isEmpty() ? runState : RunState.RAN;
    return result.mapLeft(refusal -> refusal.withEarlierAttempts(earlier));
  }

  private Either<Refusal, Answered> release(CascadeVerdict verdict) {
    if (verdict instanceof CascadeVerdict.Accept accept) {
      return release(held.get(accept.answer()));
    }
    return release(held.get(((CascadeVerdict.Stop) verdict).answer()));
  }

  private static Either<Refusal, Answered> release(Held answer) {
    answer.buffer().release();
    return Either.right(answer.answered());
  }

  private CascadeProgress progress() {
    List<AnswerReport> reports = held.stream().map(Held::report).toList();
    long budgetLeft = exchange.budgetMicros() - exchange.spend().totalMicros();
    return new CascadeProgress(plan, reports, timeLeft(), budgetLeft);
  }

  private AnswerSample sampleOf(VersionRef version, BufferedAnswer buffer) {
    AnswerText text = new AnswerText(json);
    for (EngineChunk chunk : buffer.chunks()) {
      text.add(chunk);
    }
    return new AnswerSample(
        exchange.requestId(),
        exchange.requireTarget().name(),
        version,
        exchange.chat().request().prompt(),
        text.text());
  }

  private Duration patience() {
    Duration left = timeLeft();
    return left.compareTo(RATING_PATIENCE) < 0 ? left : RATING_PATIENCE;
  }

  private Duration timeLeft() {
    return Duration.ofNanos(exchange.terms().deadlineNanos() - clocks.monotonic().read());
  }
}
