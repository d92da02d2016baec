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
 * Runs a task class through its cascade: plans the steps, judges each answer, and releases one.
 * Requests for a model or a version pass by. Thread-safe.
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
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    if (!(exchange.requireTarget() instanceof Target.Cascade cascade)) {
      return next.proceed(exchange);
    }
    List<CascadeRun.Option> options = optionsOf(exchange, cascade.config());
    if (options.isEmpty()) {
      return Either.left(
          Refusal.notRun(
              RefusalCode.MODEL_NOT_ALLOWED,
              "your team may use no model of \"" + cascade.name() + "\" now"));
    }
    CascadePlan plan = planner.plan(queryFor(exchange, cascade.config(), options));
    return new CascadeRun(json, planner, rater, observer, clocks, exchange, plan, options)
        .run(learning(next));
  }

  private Next learning(Next next) {
    return exchange -> {
      long start = clocks.monotonic().read();
      Either<Refusal, Answered> result = next.proceed(exchange);
      Duration took = Duration.ofNanos(clocks.monotonic().read() - start);
      return result.peek(answered -> learn(exchange, answered, took));
    };
  }

  private void learn(Exchange exchange, Answered answered, Duration took) {
    if (!answered.usage().isKnown()) {
      return;
    }
    costs.observe(
        exchange.requireVersion().ref(),
        exchange.chat().request().maxTokens(),
        answered.usage().outputTokens(),
        took);
  }

  private List<CascadeRun.Option> optionsOf(Exchange exchange, CascadeConfig cascade) {
    List<CascadeRun.Option> options = new ArrayList<>();
    for (String id : cascade.steps()) {
      Optional<ModelConfig> model = configs.current().config().model(id);
      Either<Refusal, VersionPick> pick =
          model.isEmpty()
              ? Either.left(Refusal.notRun(RefusalCode.MODEL_UNKNOWN, "no such model"))
              : versions.pickForModel(exchange, id);
      if (pick.isRight()) {
        options.add(optionFor(exchange, model.orElseThrow(), pick.get()));
      }
    }
    return options;
  }

  private CascadeRun.Option optionFor(Exchange exchange, ModelConfig model, VersionPick pick) {
    int promptChars = exchange.chat().request().prompt().length();
    int maxTokens = exchange.chat().request().maxTokens();
    CascadeStep step = costs.estimate(pick.ref(), model.price(), promptChars, maxTokens);
    return new CascadeRun.Option(pick, step);
  }

  private CascadeQuery queryFor(
      Exchange exchange, CascadeConfig cascade, List<CascadeRun.Option> options) {
    long leftNanos = exchange.terms().deadlineNanos() - clocks.monotonic().read();
    return new CascadeQuery(
        exchange.requireTeam().id(),
        cascade,
        options.stream().map(CascadeRun.Option::step).toList(),
        true,
        Duration.ofNanos(leftNanos),
        exchange.budgetMicros(),
        rater.state(),
        ThreadLocalRandom.current().nextDouble());
  }
}
