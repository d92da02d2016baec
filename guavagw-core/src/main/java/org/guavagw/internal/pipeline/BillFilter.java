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
 * Opens a request's bill before its answer starts and settles it afterwards. Thread-safe.
 *
 * <p>Invariant: all attempts and cascade steps of a request go into its one bill; a request that
 * did not run costs nothing.
 */
public final class BillFilter implements Filter {
  private static final String ANY_VERSION = "*";
  private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

  private final ConfigSource configs;
  private final BillRecorder bills;
  private final Clocks clocks;

  /** Creates the filter. */
  public BillFilter(ConfigSource configs, BillRecorder bills, Clocks clocks) {
    this.configs = configs;
    this.bills = bills;
    this.clocks = clocks;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    PendingBillIntent intent = bills.open(openingOf(exchange));
    boolean mayDispatch = mayDispatch(exchange, intent);
    if (!mayDispatch) {
      bills.cancel(exchange.requestId());
      return Either.left(
          Refusal.notRun(
              RefusalCode.STORE_UNAVAILABLE, "too many bills wait to be written", RETRY_AFTER));
    }
    exchange.trace().bill(exchange.requestId());
    return runAndSettle(exchange.withRelease(() -> isReleased(intent)), next);
  }

  private Either<Refusal, Answered> runAndSettle(Exchange exchange, Next next) {
    boolean ended = false;
    try {
      Either<Refusal, Answered> result = next.proceed(exchange);
      ended = true;
      settle(exchange, result);
      return result;
    } finally {
      if (!ended) {
        settleSpent(exchange);
      }
    }
  }

  private void settle(Exchange exchange, Either<Refusal, Answered> result) {
    boolean costsNothing = result.isLeft() && exchange.spend().spends().isEmpty();
    if (costsNothing && result.getLeft().runState() == RunState.NOT_RUN) {
      bills.cancel(exchange.requestId());
      return;
    }
    settleSpent(exchange);
  }

  private void settleSpent(Exchange exchange) {
    List<BilledAttempt> attempts =
        exchange.spend().spends().stream().map(BillFilter::toBilled).toList();
    bills.settle(new Settlement(exchange.requestId(), exchange.spend().totalMicros(), attempts));
  }

  private static BilledAttempt toBilled(Spend spend) {
    return new BilledAttempt(
        spend.backendServer(),
        spend.version(),
        spend.usage().inputTokens(),
        spend.usage().outputTokens(),
        spend.costMicros());
  }

  private static boolean mayDispatch(Exchange exchange, PendingBillIntent intent) {
    if (exchange.work() instanceof Work.Service) {
      return isReleased(intent);
    }
    boolean refused =
        intent.durable().isDone() && intent.durable().join() instanceof IntentOutcome.Refused;
    return !refused;
  }

  private static boolean isReleased(PendingBillIntent intent) {
    return intent.durable().join().mayServe();
  }

  private BillIntentRecord openingOf(Exchange exchange) {
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
