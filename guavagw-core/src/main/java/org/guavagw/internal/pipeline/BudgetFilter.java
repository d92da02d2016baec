package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.internal.budget.BudgetFailure;
import org.guavagw.internal.budget.BudgetLimiter;
import org.guavagw.internal.budget.Reservation;
import org.guavagw.internal.config.ConfigSource;

/** Sets aside what a request can cost at most, and gives back what it did not. Thread-safe. */
public final class BudgetFilter implements Filter {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

  private final ConfigSource configs;
  private final BudgetLimiter budgets;

  /** Creates the filter. */
  public BudgetFilter(ConfigSource configs, BudgetLimiter budgets) {
    this.configs = configs;
    this.budgets = budgets;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    CostCeiling.Ceiling ceiling = CostCeiling.of(configs.current().config(), exchange);
    Either<BudgetFailure, Reservation> reserved =
        budgets.reserve(exchange.requireTeam().id(), ceiling.maxMicros());
    if (reserved.isLeft()) {
      return Either.left(refusal(reserved.getLeft()));
    }
    try {
      return next.proceed(exchange.withBudget(ceiling.maxMicros()));
    } finally {
      budgets.settle(reserved.get(), exchange.spend().totalMicros());
    }
  }

  private static Refusal refusal(BudgetFailure failure) {
    if (failure instanceof BudgetFailure.Spent) {
      return Refusal.notRun(
          RefusalCode.BUDGET_SPENT, "your team's budget of the day does not cover the request");
    }
    return Refusal.notRun(
        RefusalCode.STORE_UNAVAILABLE,
        "the platform's table service is away and your team's share is spent",
        RETRY_AFTER);
  }
}
