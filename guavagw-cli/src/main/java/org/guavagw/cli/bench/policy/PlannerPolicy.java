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

/** The production cascade planner, with delayed or missing ratings. Not thread-safe. */
final class PlannerPolicy implements ServingPolicy {
  private static final double REFRESH_SECONDS = 10;
  private static final Duration TIME_LIMIT = Duration.ofMinutes(10);
  private static final double NANOS_PER_SECOND = 1e9;

  private final ModelAnswers answers;
  private final RatingAvailability ratings;
  private final boolean useSignals;
  private final QualityModel quality = new QualityModel();
  private final CascadePlanner planner = new CascadePlanner(quality);
  private final UniformRandomProvider rng;
  private final PriorityQueue<PendingRating> pendingRatings =
      new PriorityQueue<>(Comparator.comparingDouble(PendingRating::atSeconds));
  private double nextRefresh;
  private int explored;

  PlannerPolicy(ModelAnswers answers, RatingAvailability ratings, boolean useSignals, long seed) {
    this.answers = answers;
    this.ratings = ratings;
    this.useSignals = useSignals;
    this.rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  int explored() {
    return explored;
  }

  @Override
  public ServingResult serve(BenchRequest request) {
    advanceTo(request.atSeconds());
    CascadePlan plan = planner.plan(query(request));
    explored += plan.reason() == PlanReason.EXPLORATION ? 1 : 0;
    Attempts attempts = new Attempts(request, plan);
    PlannedStep step = plan.first();
    for (int tried = 1; tried < plan.steps().size(); tried++) {
      SimulatedAnswer answer = attempts.execute(step);
      if (answer.failed()) {
        step = plan.steps().get(tried);
        continue;
      }
      attempts.recordAnswer(step, answer);
      CascadeVerdict verdict = planner.afterAnswer(attempts.progress());
      if (verdict instanceof CascadeVerdict.Escalate e) {
        step = e.next();
        continue;
      }
      return attempts.served(verdict);
    }
    return attempts.serveLastStep(step);
  }

  private CascadeQuery query(BenchRequest request) {
    List<CascadeStep> steps = new ArrayList<>();
    for (int i = 0; i < answers.models(); i++) {
      double seconds = answers.simulator().expectedLatency(request, i);
      steps.add(
          new CascadeStep(
              answers.version(i),
              answers.simulator().costMicros(request, i),
              Duration.ofNanos((long) (seconds * NANOS_PER_SECOND))));
    }
    RatingState state =
        ratings.isOutage(request.atSeconds()) ? RatingState.UNAVAILABLE : RatingState.AVAILABLE;
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
    while (!pendingRatings.isEmpty() && pendingRatings.peek().atSeconds() <= now) {
      observe(pendingRatings.poll());
    }
    if (now >= nextRefresh) {
      planner.refresh();
      nextRefresh = now + REFRESH_SECONDS;
    }
  }

  private void observe(PendingRating rating) {
    planner.observe(rating.observation());
    CascadeObservation o = rating.observation();
    quality.observe(new QualityKey(rating.team(), o.taskClass(), o.version()), o.rating());
  }

  /** A rating that is not yet available. Immutable. */
  private record PendingRating(double atSeconds, String team, CascadeObservation observation) {}

  /** The attempts for one request. Not thread-safe. */
  private final class Attempts {
    private final BenchRequest request;
    private final CascadePlan plan;
    private final List<AnswerReport> reports = new ArrayList<>();
    private final List<SimulatedAnswer> usableAnswers = new ArrayList<>();
    private OptionalDouble previousQuality = OptionalDouble.empty();
    private long cost;
    private double latency;
    private int calls;

    Attempts(BenchRequest request, CascadePlan plan) {
      this.request = request;
      this.plan = plan;
    }

    SimulatedAnswer execute(PlannedStep step) {
      SimulatedAnswer answer = answers.answer(request, step.index());
      cost += answer.costMicros();
      latency += answer.latencySeconds();
      calls++;
      return answer;
    }

    void recordAnswer(PlannedStep step, SimulatedAnswer answer) {
      OptionalDouble rating =
          answer.isRatedInTime() ? OptionalDouble.of(answer.rating()) : OptionalDouble.empty();
      reports.add(new AnswerReport(step.index(), rating, signal(answer)));
      usableAnswers.add(answer);
      scheduleRating(step, answer);
      previousQuality = OptionalDouble.of(planner.qualityOf(progress(), reports.size() - 1));
    }

    CascadeProgress progress() {
      return new CascadeProgress(plan, reports, TIME_LIMIT, Long.MAX_VALUE);
    }

    ServingResult served(CascadeVerdict verdict) {
      int answer =
          verdict instanceof CascadeVerdict.Accept a
              ? a.answer()
              : ((CascadeVerdict.Stop) verdict).answer();
      return new ServingResult(usableAnswers.get(answer).rating(), cost, latency, calls);
    }

    ServingResult serveLastStep(PlannedStep step) {
      SimulatedAnswer answer = execute(step);
      scheduleRating(step, answer);
      return new ServingResult(answer.rating(), cost, latency, calls);
    }

    private void scheduleRating(PlannedStep step, SimulatedAnswer answer) {
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
      pendingRatings.add(new PendingRating(at, request.teamId(), observation));
    }

    private OptionalDouble signal(SimulatedAnswer answer) {
      return useSignals ? OptionalDouble.of(answer.signal()) : OptionalDouble.empty();
    }
  }
}
