package org.guavagw.internal.cascade;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.quality.QualityKey;
import org.guavagw.internal.quality.QualityModel;
import org.junit.jupiter.api.Test;

class CascadePlannerTest {
  private static final CascadeConfig CASCADE =
      new CascadeConfig("report", List.of("small", "large"), 0.85, 0);
  private static final CascadeStep SMALL = step("small", 100, 1);
  private static final CascadeStep LARGE = step("large", 5_000, 20);
  private static final Duration LONG = Duration.ofMinutes(5);
  private static final double NO_EXPLORATION = 0.75;

  private final CascadePlanner planner = new CascadePlanner(new QualityModel());

  @Test
  void shouldStartCheapAndEscalateALowRating() {
    learnRatings(0.5, 0.95);
    CascadePlan plan = planner.plan(query(true, LONG, RatingState.AVAILABLE));
    assertThat(plan.first().index()).isZero();
    assertThat(verdictAfter(plan, OptionalDouble.of(0.1)))
        .isInstanceOf(CascadeVerdict.Escalate.class);
    assertThat(verdictAfter(plan, OptionalDouble.of(0.98)))
        .isInstanceOf(CascadeVerdict.Accept.class);
  }

  @Test
  void shouldSkipTheCheapStepWhenItsAnswersAreRarelyAccepted() {
    learnRatings(0.0, 0.95);
    CascadePlan plan = planner.plan(query(true, LONG, RatingState.AVAILABLE));
    assertThat(plan.first().index()).isEqualTo(1);
    assertThat(plan.reason()).isEqualTo(PlanReason.SKIPPED_AHEAD);
  }

  @Test
  void shouldNeverEscalateARequestThatIsNotIdempotent() {
    learnRatings(0.5, 0.95);
    CascadePlan plan = planner.plan(query(false, LONG, RatingState.AVAILABLE));
    assertThat(plan.steps()).hasSize(1);
    assertThat(plan.reason()).isEqualTo(PlanReason.NOT_IDEMPOTENT);
    assertThat(verdictAfter(plan, OptionalDouble.of(0.0)))
        .isEqualTo(new CascadeVerdict.Stop(0, StopReason.NOT_IDEMPOTENT));
  }

  @Test
  void shouldStopWhenTheDeadlineLeavesNoTimeForTheNextStep() {
    learnRatings(0.5, 0.95);
    CascadePlan plan = planner.plan(query(true, LONG, RatingState.AVAILABLE));
    CascadeProgress late =
        new CascadeProgress(plan, List.of(lowRated()), Duration.ofSeconds(5), Long.MAX_VALUE);
    assertThat(planner.afterAnswer(late))
        .isEqualTo(new CascadeVerdict.Stop(0, StopReason.DEADLINE));
  }

  @Test
  void shouldStopWhenTheBudgetDoesNotCoverTheNextStep() {
    learnRatings(0.5, 0.95);
    CascadePlan plan = planner.plan(query(true, LONG, RatingState.AVAILABLE));
    assertThat(planner.afterAnswer(new CascadeProgress(plan, List.of(lowRated()), LONG, 4_999)))
        .isEqualTo(new CascadeVerdict.Stop(0, StopReason.BUDGET));
  }

  @Test
  void shouldUseEarlierRatingsWhenRatingsAreUnavailable() {
    learnRatings(0.0, 0.99);
    CascadePlan plan = planner.plan(query(true, LONG, RatingState.UNAVAILABLE));
    assertThat(plan.reason()).isEqualTo(PlanReason.RATINGS_UNAVAILABLE);
    assertThat(plan.first().index()).isEqualTo(1);
    assertThat(verdictAfter(plan, OptionalDouble.empty()))
        .isEqualTo(new CascadeVerdict.Accept(0, AcceptReason.LEARNT_QUALITY));
  }

  @Test
  void shouldUseTheQualityModelBeforeAnyCascadeAnswerIsRated() {
    QualityModel quality = new QualityModel();
    for (int i = 0; i < 300; i++) {
      quality.observe(new QualityKey("t", CASCADE.taskClass(), SMALL.version()), 0.2);
      quality.observe(new QualityKey("t", CASCADE.taskClass(), LARGE.version()), 0.95);
    }
    CascadePlan plan = new CascadePlanner(quality).plan(query(true, LONG, RatingState.UNAVAILABLE));
    assertThat(plan.first().index()).isEqualTo(1);
    assertThat(plan.first().expectedQuality()).isGreaterThan(0.85);
  }

  @Test
  void shouldReportThatTheTargetIsOutOfReach() {
    learnRatings(0.0, 0.3);
    assertThat(planner.plan(query(true, LONG, RatingState.AVAILABLE)).reason())
        .isEqualTo(PlanReason.TARGET_OUT_OF_REACH);
  }

  private CascadeVerdict verdictAfter(CascadePlan plan, OptionalDouble rating) {
    AnswerReport report = new AnswerReport(plan.first().index(), rating, OptionalDouble.empty());
    return planner.afterAnswer(new CascadeProgress(plan, List.of(report), LONG, Long.MAX_VALUE));
  }

  private static AnswerReport lowRated() {
    return new AnswerReport(0, OptionalDouble.of(0.05), OptionalDouble.empty());
  }

  /** Gives the small model good ratings in a share of the cases and bad ones otherwise. */
  private void learnRatings(double goodShareOfSmall, double ratingOfLarge) {
    planner.plan(query(true, LONG, RatingState.AVAILABLE));
    for (int i = 0; i < 400; i++) {
      boolean good = i % 10 < goodShareOfSmall * 10;
      observe(SMALL, OptionalDouble.empty(), good ? 0.97 : 0.05);
      observe(LARGE, OptionalDouble.empty(), ratingOfLarge);
      observe(LARGE, OptionalDouble.of(0.05), ratingOfLarge);
    }
    planner.refresh();
  }

  private void observe(CascadeStep step, OptionalDouble previous, double rating) {
    planner.observe(
        new CascadeObservation(
            CASCADE.taskClass(), step.version(), previous, rating, OptionalDouble.empty()));
  }

  private static CascadeQuery query(boolean idempotent, Duration time, RatingState ratings) {
    List<CascadeStep> steps = new ArrayList<>(List.of(SMALL, LARGE));
    return new CascadeQuery(
        "t", CASCADE, steps, idempotent, time, Long.MAX_VALUE, ratings, NO_EXPLORATION);
  }

  private static CascadeStep step(String model, long cost, int seconds) {
    return new CascadeStep(new VersionRef(model, "v1"), cost, Duration.ofSeconds(seconds));
  }
}
