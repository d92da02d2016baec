package org.guavagw.internal.cascade;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import org.guavagw.internal.quality.QualityModel;

/**
 * Plans cascades and judges their answers.
 *
 * <p>Invariants: a call that is not idempotent gets one step and is never escalated; no step is
 * taken that the deadline or the budget leaves no room for; the same query gets the same plan while
 * nothing new was learnt. Thread-safe.
 */
public final class CascadePlanner {
  private static final double LATENCY_MICROS_PER_SECOND = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final CascadeLearner learner = new CascadeLearner();
  private final PolicyCache policies;
  private final Exploration exploration = new Exploration();

  /** Plans by what was observed here, and by the given model where nothing was. */
  public CascadePlanner(QualityModel quality) {
    policies = new PolicyCache(quality, learner);
  }

  /** Learns from a rating of a cascade's answer, in time or late. */
  public void observe(CascadeObservation observation) {
    if (observation.rating() >= 0 && observation.rating() <= 1) {
      learner.observe(observation);
    }
  }

  /** Works out afresh what many new ratings have changed; call it every few seconds. */
  public void refresh() {
    policies.refresh();
  }

  /** Chooses where to start and what may follow. */
  public CascadePlan plan(CascadeQuery query) {
    learner.traffic(query.cascade().taskClass()).planned(costs(query));
    CascadePolicy policy = policies.policy(query);
    boolean[] usable = usable(query);
    if (!hasUsable(usable)) {
      return new CascadePlan(
          query, List.of(planned(query, policy, 0, 1)), PlanReason.LIMITED_BY_DEADLINE_OR_BUDGET);
    }
    if (!query.idempotent()) {
      int only = BlindChoice.step(policy, query, usable);
      return new CascadePlan(
          query, List.of(planned(query, policy, only, 1)), PlanReason.NOT_IDEMPOTENT);
    }
    if (query.ratings() == RatingState.UNAVAILABLE) {
      int start =
          policy.hasSignals()
              ? table(query, policy, usable).start()
              : BlindChoice.step(policy, query, usable);
      return plan(query, policy, usable, start, PlanReason.RATINGS_UNAVAILABLE);
    }
    OptionalDouble exploring = exploration.choose(policy, query.draw());
    if (exploring.isPresent()) {
      int start = anyUsable(usable, exploring.getAsDouble());
      return plan(query, policy, usable, start, PlanReason.EXPLORATION);
    }
    int start = table(query, policy, usable).start();
    return plan(query, policy, usable, start, reason(policy, usable, start));
  }

  /** Decides what to do after the newest answer. */
  public CascadeVerdict afterAnswer(CascadeProgress progress) {
    CascadeQuery query = progress.plan().query();
    int newest = progress.answers().size() - 1;
    AnswerReport answer = progress.answers().get(newest);
    if (!query.idempotent()) {
      return new CascadeVerdict.Stop(newest, StopReason.NOT_IDEMPOTENT);
    }
    boolean blind = answer.rating().isEmpty() && answer.engineSignal().isEmpty();
    if (query.ratings() == RatingState.UNAVAILABLE && blind) {
      return new CascadeVerdict.Accept(newest, AcceptReason.LEARNT_QUALITY);
    }
    learner.traffic(query.cascade().taskClass()).judged(answer.rating().isPresent());
    CascadePolicy policy = policies.policy(query);
    double quality = qualityOf(progress, policy, newest);
    AcceptReason judgedBy = judgedBy(answer);
    boolean[] all = new boolean[query.steps().size()];
    Arrays.fill(all, true);
    int wanted = table(query, policy, all).afterAnswer(answer.step(), quality);
    if (wanted == CascadeTable.NONE) {
      return isLast(query, answer.step()) && quality < query.cascade().qualityTarget()
          ? new CascadeVerdict.Stop(best(progress, policy), StopReason.LAST_STEP)
          : new CascadeVerdict.Accept(newest, judgedBy);
    }
    boolean[] usable = usable(query, progress);
    int next = table(query, policy, usable).afterAnswer(answer.step(), quality);
    return next == CascadeTable.NONE
        ? new CascadeVerdict.Stop(best(progress, policy), stopReason(query, progress, wanted))
        : new CascadeVerdict.Escalate(planned(query, policy, next, 1), judgedBy);
  }

  /** Rating of an answer, or what is expected of it; for {@link CascadeObservation}. */
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

  private static int best(CascadeProgress progress, CascadePolicy policy) {
    int best = 0;
    for (int i = 1; i < progress.answers().size(); i++) {
      if (qualityOf(progress, policy, i) >= qualityOf(progress, policy, best)) {
        best = i;
      }
    }
    return best;
  }

  private static CascadeTable table(CascadeQuery query, CascadePolicy policy, boolean[] usable) {
    TableMemo tables = policy.tables(query.ratings());
    double draw = Exploration.rest(query.draw());
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
      steps.add(planned(query, policy, i, table.node(i, context).accepted()));
      context = AnswerContext.after(0);
    }
    return new CascadePlan(query, steps, reason);
  }

  private static PlannedStep planned(
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

  private static StopReason stopReason(CascadeQuery query, CascadeProgress progress, int wanted) {
    boolean late = query.steps().get(wanted).latency().compareTo(progress.remainingTime()) > 0;
    return late ? StopReason.DEADLINE : StopReason.BUDGET;
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

  private static int anyUsable(boolean[] usable, double draw) {
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
