package org.guavagw.cli.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.guavagw.internal.cascade.AnswerReport;
import org.guavagw.internal.cascade.CascadeObservation;
import org.guavagw.internal.cascade.CascadePlan;
import org.guavagw.internal.cascade.CascadePlanner;
import org.guavagw.internal.cascade.CascadeProgress;
import org.guavagw.internal.cascade.CascadeQuery;
import org.guavagw.internal.cascade.CascadeStep;
import org.guavagw.internal.cascade.CascadeVerdict;
import org.guavagw.internal.cascade.PlanReason;
import org.guavagw.internal.cascade.PlannedStep;
import org.guavagw.internal.cascade.RatingState;
import org.guavagw.internal.quality.QualityKey;
import org.guavagw.internal.quality.QualityModel;

/** The planner that ships, with ratings that come in time, late or never. Not thread-safe. */
final class PlannerPolicy implements ServingPolicy {
  private static final double REFRESH_SECONDS = 10;
  private static final Duration TIME_LIMIT = Duration.ofMinutes(10);
  private static final double NANOS_PER_SECOND = 1e9;

  private final ModelAnswers answers;
  private final RatingSupply ratings;
  private final boolean hasSignals;
  private final QualityModel quality = new QualityModel();
  private final CascadePlanner planner = new CascadePlanner(quality);
  private final UniformRandomProvider rng;
  private final PriorityQueue<Late> late =
      new PriorityQueue<>(Comparator.comparingDouble(Late::atSeconds));
  private double nextRefresh;
  private int explored;

  PlannerPolicy(ModelAnswers answers, RatingSupply ratings, boolean hasSignals, long seed) {
    this.answers = answers;
    this.ratings = ratings;
    this.hasSignals = hasSignals;
    this.rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  int explored() {
    return explored;
  }

  @Override
  public Served serve(BenchRequest request) {
    advanceTo(request.atSeconds());
    CascadePlan plan = planner.plan(query(request));
    explored += plan.reason() == PlanReason.EXPLORATION ? 1 : 0;
    Attempts attempts = new Attempts(request, plan);
    PlannedStep step = plan.first();
    for (int tried = 1; tried < plan.steps().size(); tried++) {
      FakeAnswer answer = attempts.call(step);
      if (answer.failed()) {
        step = plan.steps().get(tried);
        continue;
      }
      attempts.judge(step, answer);
      CascadeVerdict verdict = planner.afterAnswer(attempts.progress());
      if (verdict instanceof CascadeVerdict.Escalate e) {
        step = e.next();
        continue;
      }
      return attempts.served(verdict);
    }
    return attempts.serveLast(step);
  }

  private CascadeQuery query(BenchRequest request) {
    List<CascadeStep> steps = new ArrayList<>();
    for (int i = 0; i < answers.models(); i++) {
      double seconds = answers.world().expectedLatency(request, i);
      steps.add(
          new CascadeStep(
              answers.version(i),
              answers.world().costMicros(request, i),
              Duration.ofNanos((long) (seconds * NANOS_PER_SECOND))));
    }
    RatingState state =
        ratings.isOut(request.atSeconds()) ? RatingState.UNAVAILABLE : RatingState.AVAILABLE;
    return new CascadeQuery(
        request.teamId(),
        answers.workload().cascade(request.taskClass()),
        steps,
        true,
        TIME_LIMIT,
        Long.MAX_VALUE,
        state,
        rng.nextDouble());
  }

  private void advanceTo(double now) {
    while (!late.isEmpty() && late.peek().atSeconds() <= now) {
      observe(late.poll());
    }
    if (now >= nextRefresh) {
      planner.refresh();
      nextRefresh = now + REFRESH_SECONDS;
    }
  }

  private void observe(Late rating) {
    planner.observe(rating.observation());
    CascadeObservation o = rating.observation();
    quality.observe(new QualityKey(rating.team(), o.taskClass(), o.version()), o.rating());
  }

  /** A rating on its way. Immutable. */
  private record Late(double atSeconds, String team, CascadeObservation observation) {}

  /** The calls for one request. Not thread-safe. */
  private final class Attempts {
    private final BenchRequest request;
    private final CascadePlan plan;
    private final List<AnswerReport> reports = new ArrayList<>();
    private final List<FakeAnswer> judged = new ArrayList<>();
    private OptionalDouble previousQuality = OptionalDouble.empty();
    private long cost;
    private double latency;
    private int calls;

    Attempts(BenchRequest request, CascadePlan plan) {
      this.request = request;
      this.plan = plan;
    }

    FakeAnswer call(PlannedStep step) {
      FakeAnswer answer = answers.answer(request, step.index());
      cost += answer.costMicros();
      latency += answer.latencySeconds();
      calls++;
      return answer;
    }

    void judge(PlannedStep step, FakeAnswer answer) {
      OptionalDouble rating =
          answer.isRatedInTime() ? OptionalDouble.of(answer.rating()) : OptionalDouble.empty();
      reports.add(new AnswerReport(step.index(), rating, signal(answer)));
      judged.add(answer);
      expectRating(step, answer);
      previousQuality = OptionalDouble.of(planner.qualityOf(progress(), reports.size() - 1));
    }

    CascadeProgress progress() {
      return new CascadeProgress(plan, reports, TIME_LIMIT, Long.MAX_VALUE);
    }

    Served served(CascadeVerdict verdict) {
      int answer =
          verdict instanceof CascadeVerdict.Accept a
              ? a.answer()
              : ((CascadeVerdict.Stop) verdict).answer();
      return new Served(judged.get(answer).rating(), cost, latency, calls);
    }

    Served serveLast(PlannedStep step) {
      FakeAnswer answer = call(step);
      expectRating(step, answer);
      return new Served(answer.rating(), cost, latency, calls);
    }

    private void expectRating(PlannedStep step, FakeAnswer answer) {
      if (!answer.isEverRated()) {
        return;
      }
      CascadeObservation observation =
          new CascadeObservation(
              request.taskClass().name(),
              step.step().version(),
              previousQuality,
              answer.rating(),
              signal(answer));
      double at = request.atSeconds() + answer.ratingDelaySeconds();
      late.add(new Late(at, request.teamId(), observation));
    }

    private OptionalDouble signal(FakeAnswer answer) {
      return hasSignals ? OptionalDouble.of(answer.signal()) : OptionalDouble.empty();
    }
  }
}
