package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.billing.BillIntentRecord;
import org.guavagw.internal.billing.BillRecorder;
import org.guavagw.internal.billing.BilledAttempt;
import org.guavagw.internal.billing.IntentOutcome;
import org.guavagw.internal.billing.PendingBillIntent;
import org.guavagw.internal.billing.Settlement;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.time.Clocks;

/**
 * Opens the bill of a request before its answer starts and settles it when the request ends.
 * Thread-safe.
 *
 * <p>Invariant: all attempts and cascade steps of a request are charged to one bill; a request that
 * did not run costs nothing.
 */
public final class BillingFilter implements Filter {
  private static final String ANY_VERSION = "*";
  private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

  private final ConfigSource configs;
  private final BillRecorder bills;
  private final Clocks clocks;

  /** Creates the filter. */
  public BillingFilter(ConfigSource configs, BillRecorder bills, Clocks clocks) {
    this.configs = configs;
    this.bills = bills;
    this.clocks = clocks;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    PendingBillIntent intent = bills.open(intentOf(exchange));
    boolean mayDispatch = mayDispatch(exchange, intent);
    if (!mayDispatch) {
      bills.cancel(exchange.requestId());
      return Either.left(
          Refusal.notRun(
              RefusalCode.STORE_UNAVAILABLE,
              "too many bills are waiting to be written",
              RETRY_AFTER));
    }
    exchange.trace().bill(exchange.requestId());
    return runAndSettle(exchange.withRelease(() -> awaitRelease(intent)), next);
  }

  private Either<Refusal, CompletedAnswer> runAndSettle(Exchange exchange, FilterChain next) {
    boolean returned = false;
    try {
      Either<Refusal, CompletedAnswer> result = next.proceed(exchange);
      returned = true;
      settle(exchange, result);
      return result;
    } finally {
      if (!returned) {
        settleCost(exchange);
      }
    }
  }

  private void settle(Exchange exchange, Either<Refusal, CompletedAnswer> result) {
    boolean costsNothing = result.isLeft() && exchange.cost().attemptCosts().isEmpty();
    if (costsNothing && result.getLeft().runState() == RunState.NOT_RUN) {
      bills.cancel(exchange.requestId());
      return;
    }
    settleCost(exchange);
  }

  private void settleCost(Exchange exchange) {
    List<BilledAttempt> attempts =
        exchange.cost().attemptCosts().stream().map(BillingFilter::toBilledAttempt).toList();
    bills.settle(new Settlement(exchange.requestId(), exchange.cost().totalMicros(), attempts));
  }

  private static BilledAttempt toBilledAttempt(AttemptCost cost) {
    return new BilledAttempt(
        cost.backendServer(),
        cost.version(),
        cost.usage().inputTokens(),
        cost.usage().outputTokens(),
        cost.costMicros());
  }

  private static boolean mayDispatch(Exchange exchange, PendingBillIntent intent) {
    if (exchange.operation() instanceof Operation.Service) {
      return awaitRelease(intent);
    }
    boolean refused =
        intent.durable().isDone() && intent.durable().join() instanceof IntentOutcome.Refused;
    return !refused;
  }

  private static boolean awaitRelease(PendingBillIntent intent) {
    return intent.durable().join().mayServe();
  }

  private BillIntentRecord intentOf(Exchange exchange) {
    CostCeiling.Ceiling ceiling = CostCeiling.of(configs.current().config(), exchange);
    return new BillIntentRecord(
        exchange.requestId(),
        exchange.requireTeam().id(),
        new VersionRef(exchange.requireTarget().name(), ANY_VERSION),
        ceiling.inputMicros(),
        ceiling.maxMicros(),
        clocks.wall().instant());
  }
}
