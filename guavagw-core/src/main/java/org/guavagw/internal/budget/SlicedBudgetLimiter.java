package org.guavagw.internal.budget;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntSupplier;
import java.util.function.ToLongFunction;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.TableService;

/**
 * Reserves budget from slices that the entry takes from the table service in advance.
 *
 * <p>All entries together never hold more than a budget. It can be exceeded only by the overdraft,
 * which is allowed while the table service is unavailable, and by answers that cost more than their
 * reservation. Thread-safe.
 */
public final class SlicedBudgetLimiter implements BudgetLimiter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;
  private static final long DAY_MS = Duration.ofDays(1).toMillis();

  private final Map<String, HeldTeamBudget> heldBudgets = new ConcurrentHashMap<>();
  private final Map<String, ReentrantLock> refillLocks = new ConcurrentHashMap<>();
  private final BudgetTable table;
  private final ToLongFunction<String> budgetMicros;
  private final IntSupplier memberCount;
  private final BudgetSettings settings;
  private final Clocks clocks;
  private final Executor refillExecutor;
  private volatile long storeUnavailableUntilNanos;
  private volatile boolean lastWriteFailed;

  /**
   * Creates the limiter of one incarnation of an entry.
   *
   * @param budgetMicros returns the budget of a team in micro-units per day
   * @param refillExecutor runs the refills that are done in the background
   */
  public SlicedBudgetLimiter(
      TableService table,
      String entryIncarnation,
      ToLongFunction<String> budgetMicros,
      IntSupplier memberCount,
      BudgetSettings settings,
      Clocks clocks,
      Executor refillExecutor) {
    this.table = new BudgetTable(table, entryIncarnation);
    this.budgetMicros = budgetMicros;
    this.memberCount = memberCount;
    this.settings = settings;
    this.clocks = clocks;
    this.refillExecutor = refillExecutor;
    this.storeUnavailableUntilNanos = clocks.monotonic().read();
  }

  @Override
  public Either<BudgetFailure, Reservation> reserve(String team, long maxMicros) {
    HeldTeamBudget held = heldBudget(team);
    Reservation reservation = held.reserveFromHeld(maxMicros);
    if (reservation == null) {
      return reserveBeyondHeld(held, maxMicros);
    }
    if (held.needsRefill()) {
      refillInBackground(held);
    }
    return Either.right(reservation);
  }

  private void refillInBackground(HeldTeamBudget held) {
    if (isStoreUnavailable() || held.isSpent(clocks.monotonic().read())) {
      return;
    }
    try {
      refillExecutor.execute(() -> refillAhead(held));
    } catch (RejectedExecutionException e) {
      logger.atFine().withCause(e).log("the entry is stopping; no budget slice taken in advance");
    }
  }

  private HeldTeamBudget heldBudget(String team) {
    long today = Math.floorDiv(clocks.wall().millis(), DAY_MS);
    return heldBudgets.compute(
        team,
        (name, old) ->
            old != null && old.epochDay() >= today ? old : new HeldTeamBudget(name, today));
  }

  private Either<BudgetFailure, Reservation> reserveBeyondHeld(
      HeldTeamBudget held, long maxMicros) {
    if (!lastWriteFailed) {
      return reserveAfterRefill(held, maxMicros);
    }
    refillInBackground(held);
    Reservation reservation = held.reserveWithOverdraft(maxMicros, overdraftMicros(held));
    return reservation == null ? reserveAfterRefill(held, maxMicros) : Either.right(reservation);
  }

  private long overdraftMicros(HeldTeamBudget held) {
    return settings.overdraftMicros(budgetMicros.applyAsLong(held.team()), memberCount.getAsInt());
  }

  private Either<BudgetFailure, Reservation> reserveAfterRefill(
      HeldTeamBudget held, long maxMicros) {
    ReentrantLock lock = refillLock(held);
    lock.lock();
    try {
      Reservation available = held.reserveFromHeld(maxMicros);
      if (available != null) {
        return Either.right(available);
      }
      return refill(held, held.shortfall(maxMicros))
          .fold(
              failure -> reserveWithOverdraft(held, maxMicros, failure),
              done -> reserveAfterSliceTaken(held, maxMicros));
    } finally {
      lock.unlock();
    }
  }

  private static Either<BudgetFailure, Reservation> reserveAfterSliceTaken(
      HeldTeamBudget held, long maxMicros) {
    Reservation reservation = held.reserveFromHeld(maxMicros);
    return reservation == null
        ? Either.left(new BudgetFailure.Spent(held.team()))
        : Either.right(reservation);
  }

  private Either<BudgetFailure, Reservation> reserveWithOverdraft(
      HeldTeamBudget held, long maxMicros, PlatformFailure failure) {
    Reservation reservation = held.reserveWithOverdraft(maxMicros, overdraftMicros(held));
    return reservation == null
        ? Either.left(new BudgetFailure.StoreUnavailable(held.team(), failure.reason()))
        : Either.right(reservation);
  }

  private void refillAhead(HeldTeamBudget held) {
    ReentrantLock lock = refillLock(held);
    if (!lock.tryLock()) {
      return;
    }
    try {
      if (held.needsRefill()) {
        refill(held, held.shortfall(0));
      }
    } finally {
      lock.unlock();
    }
  }

  private Either<PlatformFailure, Long> refill(HeldTeamBudget held, long shortfall) {
    if (held.isSpent(clocks.monotonic().read())) {
      return Either.right(0L);
    }
    if (isStoreUnavailable()) {
      return Either.left(PlatformFailure.notApplied("the table service failed recently"));
    }
    long budget = budgetMicros.applyAsLong(held.team());
    return table
        .addToTaken(
            BudgetRow.key(held.team(), held.epochDay()),
            taken ->
                settings.sliceMicros(budget, budget - taken, shortfall, memberCount.getAsInt()))
        .peek(slice -> onSliceTaken(held, slice, shortfall))
        .peekLeft(this::onStoreFailure);
  }

  private void onSliceTaken(HeldTeamBudget held, long slice, long shortfall) {
    lastWriteFailed = false;
    held.addSlice(slice);
    if (slice == 0 || slice < shortfall) {
      long now = clocks.monotonic().read();
      held.markSpent(now + settings.spentRetryInterval().toNanos());
    }
  }

  private void onStoreFailure(PlatformFailure failure) {
    lastWriteFailed = true;
    storeUnavailableUntilNanos =
        clocks.monotonic().read() + settings.storeRetryInterval().toNanos();
    logger.atInfo().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
        "no budget slice taken: %s", failure);
  }

  private boolean isStoreUnavailable() {
    return clocks.monotonic().read() - storeUnavailableUntilNanos < 0;
  }

  private ReentrantLock refillLock(HeldTeamBudget held) {
    return refillLocks.computeIfAbsent(held.team(), team -> new ReentrantLock());
  }

  @Override
  public void settle(Reservation reservation, long actualMicros) {
    HeldTeamBudget held = heldBudgets.get(reservation.team());
    if (held != null && held.epochDay() == reservation.epochDay()) {
      held.settle(reservation, actualMicros);
    }
  }

  @Override
  public void close() {
    heldBudgets.values().forEach(this::returnUnspent);
  }

  private void returnUnspent(HeldTeamBudget held) {
    long available = held.removeUnspent();
    table
        .addToTaken(
            BudgetRow.key(held.team(), held.epochDay()), taken -> -Math.min(available, taken))
        .peekLeft(
            failure ->
                logger.atInfo().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                    "%d micros of the budget of %s not returned", available, held.team()));
  }
}
