package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.internal.budget.BudgetFailure;
import org.guavagw.internal.budget.BudgetLimiter;
import org.guavagw.internal.budget.Reservation;
import org.guavagw.internal.config.ConfigSource;

/**
 * Reserves the maximum cost of a request in the team's budget and returns the unused part when the
 * request ends. Thread-safe.
 */
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
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    CostCeiling.Ceiling ceiling = CostCeiling.of(configs.current().config(), exchange);
    Either<BudgetFailure, Reservation> reserved =
        budgets.reserve(exchange.requireTeam().id(), ceiling.maxMicros());
    if (reserved.isLeft()) {
      return Either.left(refusal(reserved.getLeft()));
    }
    try {
      return next.proceed(exchange.withBudget(ceiling.maxMicros()));
    } finally {
      budgets.settle(reserved.get(), exchange.cost().totalMicros());
    }
  }

  private static Refusal refusal(BudgetFailure failure) {
    if (failure instanceof BudgetFailure.Spent) {
      return Refusal.notRun(
          RefusalCode.BUDGET_SPENT,
          "your team's remaining budget for today does not cover the request");
    }
    return Refusal.notRun(
        RefusalCode.STORE_UNAVAILABLE,
        "the table service is unavailable and this entry's share of your team's budget is spent",
        RETRY_AFTER);
  }
}
