package org.guavagw.internal.cascade;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import org.guavagw.internal.quality.QualityModel;

/**
 * Plans cascades and decides after each answer whether to accept it or escalate.
 *
 * <p>Invariants: a request that is not idempotent gets one step and is never escalated; a request
 * is never escalated to a step for which its deadline or budget does not suffice; the same query
 * gets the same plan until new ratings are learnt. Thread-safe.
 */
public final class CascadePlanner {
  private static final double LATENCY_MICROS_PER_SECOND = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final CascadeLearner learner = new CascadeLearner();
  private final PolicyCache policies;
  private final Exploration exploration = new Exploration();

  /**
   * Creates a planner that uses ratings of cascade answers, and the quality model for versions
   * without any.
   */
  public CascadePlanner(QualityModel quality) {
    policies = new PolicyCache(quality, learner);
  }

  /** Adds the rating of a cascade's answer, in time or late. */
  public void observe(CascadeObservation observation) {
    if (observation.rating() >= 0 && observation.rating() <= 1) {
      learner.observe(observation);
    }
  }

  /** Recomputes the policies for which many new ratings have arrived; call it every few seconds. */
  public void refresh() {
    policies.refresh();
  }

  /** Returns the steps to attempt for a request. */
  public CascadePlan plan(CascadeQuery query) {
    learner.traffic(query.cascade().taskClass()).onPlanned(costs(query));
    CascadePolicy policy = policies.policy(query);
    boolean[] usable = usable(query);
    if (!hasUsable(usable)) {
      return new CascadePlan(
          query,
          List.of(plannedStep(query, policy, 0, 1)),
          PlanReason.LIMITED_BY_DEADLINE_OR_BUDGET);
    }
    if (!query.idempotent()) {
      int onlyStep = UnjudgedStepChooser.chooseStep(policy, query, usable);
      return new CascadePlan(
          query, List.of(plannedStep(query, policy, onlyStep, 1)), PlanReason.NOT_IDEMPOTENT);
    }
    if (query.ratings() == RatingState.UNAVAILABLE) {
      int start =
          policy.hasSignals()
              ? table(query, policy, usable).start()
              : UnjudgedStepChooser.chooseStep(policy, query, usable);
      return plan(query, policy, usable, start, PlanReason.RATINGS_UNAVAILABLE);
    }
    OptionalDouble explorationDraw = exploration.choose(policy, query.draw());
    if (explorationDraw.isPresent()) {
      int start = randomUsableStep(usable, explorationDraw.getAsDouble());
      return plan(query, policy, usable, start, PlanReason.EXPLORATION);
    }
    int start = table(query, policy, usable).start();
    return plan(query, policy, usable, start, reason(policy, usable, start));
  }

  /** Decides what to do after the latest answer. */
  public CascadeVerdict afterAnswer(CascadeProgress progress) {
    CascadeQuery query = progress.plan().query();
    int latest = progress.answers().size() - 1;
    AnswerReport answer = progress.answers().get(latest);
    if (!query.idempotent()) {
      return new CascadeVerdict.Stop(latest, StopReason.NOT_IDEMPOTENT);
    }
    boolean unjudged = answer.rating().isEmpty() && answer.engineSignal().isEmpty();
    if (query.ratings() == RatingState.UNAVAILABLE && unjudged) {
      return new CascadeVerdict.Accept(latest, AcceptReason.LEARNT_QUALITY);
    }
    learner.traffic(query.cascade().taskClass()).onJudged(answer.rating().isPresent());
    CascadePolicy policy = policies.policy(query);
    double quality = qualityOf(progress, policy, latest);
    AcceptReason judgedBy = judgedBy(answer);
    boolean[] allSteps = new boolean[query.steps().size()];
    Arrays.fill(allSteps, true);
    int unrestrictedNext = table(query, policy, allSteps).afterAnswer(answer.step(), quality);
    if (unrestrictedNext == CascadeTable.NONE) {
      return isLast(query, answer.step()) && quality < query.cascade().qualityTarget()
          ? new CascadeVerdict.Stop(bestAnswer(progress, policy), StopReason.LAST_STEP)
          : new CascadeVerdict.Accept(latest, judgedBy);
    }
    boolean[] usable = usable(query, progress);
    int next = table(query, policy, usable).afterAnswer(answer.step(), quality);
    return next == CascadeTable.NONE
        ? new CascadeVerdict.Stop(
            bestAnswer(progress, policy), stopReason(query, progress, unrestrictedNext))
        : new CascadeVerdict.Escalate(plannedStep(query, policy, next, 1), judgedBy);
  }

  /** Returns the rating of an answer, or its expected rating; for {@link CascadeObservation}. */
  public double qualityOf(CascadeProgress progress, int answer) {
    return qualityOf(progress, policies.policy(progress.plan().query()), answer);
  }

  private static double qualityOf(CascadeProgress progress, CascadePolicy policy, int answer) {
    AnswerReport report = progress.answers().get(answer);
    if (report.rating().isPresent()) {
      return report.rating().getAsDouble();
    }
    AnswerContext context =
        answer == 0
            ? AnswerContext.FIRST
            : AnswerContext.after(qualityOf(progress, policy, answer - 1));
    return policy.models().get(report.step()).expected(context, report.engineSignal());
  }

  private static int bestAnswer(CascadeProgress progress, CascadePolicy policy) {
    int bestAnswer = 0;
    for (int i = 1; i < progress.answers().size(); i++) {
      if (qualityOf(progress, policy, i) >= qualityOf(progress, policy, bestAnswer)) {
        bestAnswer = i;
      }
    }
    return bestAnswer;
  }

  private static CascadeTable table(CascadeQuery query, CascadePolicy policy, boolean[] usable) {
    CascadeTableCache tables = policy.tables(query.ratings());
    double draw = Exploration.independentDraw(query.draw());
    return isAll(usable)
        ? tables.table(costs(query), draw)
        : tables.solve(costs(query), usable, draw);
  }

  private static boolean isAll(boolean[] usable) {
    for (boolean u : usable) {
      if (!u) {
        return false;
      }
    }
    return true;
  }

  private static double[] costs(CascadeQuery query) {
    double perSecond = query.cascade().latencyWeight() * LATENCY_MICROS_PER_SECOND;
    double[] costs = new double[query.steps().size()];
    for (int i = 0; i < costs.length; i++) {
      CascadeStep step = query.steps().get(i);
      costs[i] = step.costMicros() + perSecond * step.latency().toNanos() / NANOS_PER_SECOND;
    }
    return costs;
  }

  private static CascadePlan plan(
      CascadeQuery query, CascadePolicy policy, boolean[] usable, int start, PlanReason reason) {
    CascadeTable table = table(query, policy, usable);
    List<PlannedStep> steps = new ArrayList<>();
    AnswerContext context = AnswerContext.FIRST;
    for (int i = start; i != CascadeTable.NONE; i = table.nextUsable(i)) {
      steps.add(plannedStep(query, policy, i, table.node(i, context).accepted()));
      context = AnswerContext.after(0);
    }
    return new CascadePlan(query, steps, reason);
  }

  private static PlannedStep plannedStep(
      CascadeQuery query, CascadePolicy policy, int step, double passChance) {
    return new PlannedStep(
        step, query.steps().get(step), policy.models().get(step).means()[0], passChance);
  }

  private static PlanReason reason(CascadePolicy policy, boolean[] usable, int start) {
    if (!policy.price().isReachable()) {
      return PlanReason.TARGET_OUT_OF_REACH;
    }
    if (!isAll(usable)) {
      return PlanReason.LIMITED_BY_DEADLINE_OR_BUDGET;
    }
    return start == 0 ? PlanReason.CHEAPEST_MEETING_TARGET : PlanReason.SKIPPED_AHEAD;
  }

  private static AcceptReason judgedBy(AnswerReport answer) {
    if (answer.rating().isPresent()) {
      return AcceptReason.RATING;
    }
    return answer.engineSignal().isPresent()
        ? AcceptReason.ENGINE_SIGNAL
        : AcceptReason.LEARNT_QUALITY;
  }

  private static boolean isLast(CascadeQuery query, int step) {
    return step == query.steps().size() - 1;
  }

  private static StopReason stopReason(
      CascadeQuery query, CascadeProgress progress, int unrestrictedNext) {
    boolean deadlineTooClose =
        query.steps().get(unrestrictedNext).latency().compareTo(progress.remainingTime()) > 0;
    return deadlineTooClose ? StopReason.DEADLINE : StopReason.BUDGET;
  }

  private static boolean[] usable(CascadeQuery query, CascadeProgress progress) {
    return usable(
        new CascadeQuery(
            query.team(),
            query.cascade(),
            query.steps(),
            query.idempotent(),
            progress.remainingTime(),
            progress.remainingBudgetMicros(),
            query.ratings(),
            query.draw()));
  }

  private static boolean[] usable(CascadeQuery query) {
    boolean[] usable = new boolean[query.steps().size()];
    for (int i = 0; i < usable.length; i++) {
      CascadeStep step = query.steps().get(i);
      usable[i] =
          step.latency().compareTo(query.remainingTime()) <= 0
              && step.costMicros() <= query.remainingBudgetMicros();
    }
    return usable;
  }

  private static boolean hasUsable(boolean[] usable) {
    for (boolean u : usable) {
      if (u) {
        return true;
      }
    }
    return false;
  }

  private static int randomUsableStep(boolean[] usable, double draw) {
    int start = (int) (draw * usable.length);
    for (int i = 0; i < usable.length; i++) {
      int step = (start + i) % usable.length;
      if (usable[step]) {
        return step;
      }
    }
    throw new IllegalStateException("no usable step");
  }
}
