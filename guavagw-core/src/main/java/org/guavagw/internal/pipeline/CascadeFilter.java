package org.guavagw.internal.pipeline;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.internal.cascade.CascadePlan;
import org.guavagw.internal.cascade.CascadePlanner;
import org.guavagw.internal.cascade.CascadeQuery;
import org.guavagw.internal.cascade.CascadeStep;
import org.guavagw.internal.cascade.CostEstimator;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.rating.AnswerRater;
import org.guavagw.internal.rating.RatingObserver;
import org.guavagw.internal.time.Clocks;

/**
 * Runs a request for a task class through its cascade: plans the steps, rates each answer and
 * releases one of them. Requests for a model or a version are passed on unchanged. Thread-safe.
 */
public final class CascadeFilter implements Filter {
  private final ObjectMapper json;
  private final ConfigSource configs;
  private final VersionFilter versions;
  private final CascadePlanner planner;
  private final CostEstimator costs;
  private final AnswerRater rater;
  private final RatingObserver observer;
  private final Clocks clocks;

  /** Creates the filter. */
  public CascadeFilter(
      ObjectMapper json,
      ConfigSource configs,
      VersionFilter versions,
      CascadePlanner planner,
      CostEstimator costs,
      AnswerRater rater,
      RatingObserver observer,
      Clocks clocks) {
    this.json = json;
    this.configs = configs;
    this.versions = versions;
    this.planner = planner;
    this.costs = costs;
    this.rater = rater;
    this.observer = observer;
    this.clocks = clocks;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    if (!(exchange.requireTarget() instanceof Target.Cascade cascade)) {
      return next.proceed(exchange);
    }
    List<CascadeExecution.Candidate> candidates = candidatesOf(exchange, cascade.config());
    if (candidates.isEmpty()) {
      return Either.left(
          Refusal.notRun(
              RefusalCode.MODEL_NOT_ALLOWED,
              "no model that your team may use is available for \"" + cascade.name() + "\""));
    }
    CascadePlan plan = planner.plan(queryFor(exchange, cascade.config(), candidates));
    return new CascadeExecution(json, planner, rater, observer, clocks, exchange, plan, candidates)
        .run(observingCosts(next));
  }

  private FilterChain observingCosts(FilterChain next) {
    return exchange -> {
      long start = clocks.monotonic().read();
      Either<Refusal, CompletedAnswer> result = next.proceed(exchange);
      Duration took = Duration.ofNanos(clocks.monotonic().read() - start);
      return result.peek(answer -> observeCost(exchange, answer, took));
    };
  }

  private void observeCost(Exchange exchange, CompletedAnswer answer, Duration took) {
    if (!answer.usage().isKnown()) {
      return;
    }
    costs.observe(
        exchange.requireVersion().ref(),
        exchange.chat().request().maxTokens(),
        answer.usage().outputTokens(),
        took);
  }

  private List<CascadeExecution.Candidate> candidatesOf(Exchange exchange, CascadeConfig cascade) {
    List<CascadeExecution.Candidate> candidates = new ArrayList<>();
    for (String id : cascade.steps()) {
      Optional<ModelConfig> model = configs.current().config().model(id);
      Either<Refusal, SelectedVersion> selected =
          model.isEmpty()
              ? Either.left(Refusal.notRun(RefusalCode.MODEL_UNKNOWN, "no such model"))
              : versions.selectForModel(exchange, id);
      if (selected.isRight()) {
        candidates.add(candidateFor(exchange, model.orElseThrow(), selected.get()));
      }
    }
    return candidates;
  }

  private CascadeExecution.Candidate candidateFor(
      Exchange exchange, ModelConfig model, SelectedVersion selected) {
    int promptChars = exchange.chat().request().prompt().length();
    int maxTokens = exchange.chat().request().maxTokens();
    CascadeStep step = costs.estimate(selected.ref(), model.price(), promptChars, maxTokens);
    return new CascadeExecution.Candidate(selected, step);
  }

  private CascadeQuery queryFor(
      Exchange exchange, CascadeConfig cascade, List<CascadeExecution.Candidate> candidates) {
    long remainingNanos = exchange.metadata().deadlineNanos() - clocks.monotonic().read();
    return new CascadeQuery(
        exchange.requireTeam().id(),
        cascade,
        candidates.stream().map(CascadeExecution.Candidate::step).toList(),
        true,
        Duration.ofNanos(remainingNanos),
        exchange.budgetMicros(),
        rater.state(),
        ThreadLocalRandom.current().nextDouble());
  }
}
