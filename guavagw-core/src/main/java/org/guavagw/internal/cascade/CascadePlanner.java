package org.guavagw.internal.cascade;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.internal.quality.QualityEstimate;
import org.guavagw.internal.quality.QualityKey;
import org.guavagw.internal.quality.QualityModel;

/**
 * Plans cascades and judges their answers.
 *
 * <p>Invariant: a call that is not idempotent gets one step and is never escalated. Thread-safe.
 */
public final class CascadePlanner {
  private final QualityModel quality;

  /** Plans by what the model has learnt. */
  public CascadePlanner(QualityModel quality) {
    this.quality = quality;
  }

  /** Chooses where to start and what may follow. */
  public CascadePlan plan(CascadeQuery query) {
    int start = cheapestMeetingTarget(query);
    List<PlannedStep> steps = new ArrayList<>();
    int last = query.idempotent() ? query.steps().size() - 1 : start;
    for (int i = start; i <= last; i++) {
      QualityEstimate e = estimate(query, i);
      steps.add(new PlannedStep(i, query.steps().get(i), e.mean(), e.mean()));
    }
    return new CascadePlan(query, steps, reason(query));
  }

  /** Decides what to do after the newest answer. */
  public CascadeVerdict afterAnswer(CascadeProgress progress) {
    int newest = progress.answers().size() - 1;
    AnswerReport answer = progress.answers().get(newest);
    CascadeQuery query = progress.plan().query();
    double quality = answer.rating().orElse(estimate(query, answer.step()).mean());
    AcceptReason judgedBy =
        answer.rating().isPresent() ? AcceptReason.RATING : AcceptReason.LEARNT_QUALITY;
    if (quality >= query.cascade().qualityTarget()) {
      return new CascadeVerdict.Accept(newest, judgedBy);
    }
    if (!query.idempotent()) {
      return new CascadeVerdict.Stop(newest, StopReason.NOT_IDEMPOTENT);
    }
    if (newest + 1 >= progress.plan().steps().size()) {
      return new CascadeVerdict.Stop(newest, StopReason.LAST_STEP);
    }
    PlannedStep next = progress.plan().steps().get(newest + 1);
    if (next.step().latency().compareTo(progress.remainingTime()) > 0) {
      return new CascadeVerdict.Stop(newest, StopReason.DEADLINE);
    }
    if (next.step().costMicros() > progress.remainingBudgetMicros()) {
      return new CascadeVerdict.Stop(newest, StopReason.BUDGET);
    }
    return new CascadeVerdict.Escalate(next, judgedBy);
  }

  private int cheapestMeetingTarget(CascadeQuery query) {
    for (int i = 0; i < query.steps().size(); i++) {
      if (estimate(query, i).lower() >= query.cascade().qualityTarget()) {
        return i;
      }
    }
    return query.idempotent() ? 0 : query.steps().size() - 1;
  }

  private static PlanReason reason(CascadeQuery query) {
    if (!query.idempotent()) {
      return PlanReason.NOT_IDEMPOTENT;
    }
    return query.ratings() == RatingState.UNAVAILABLE
        ? PlanReason.RATINGS_UNAVAILABLE
        : PlanReason.CHEAPEST_MEETING_TARGET;
  }

  private QualityEstimate estimate(CascadeQuery query, int step) {
    return quality.estimate(
        new QualityKey(
            query.team(), query.cascade().taskClass(), query.steps().get(step).version()));
  }
}
