package org.guavagw.internal.budget;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntSupplier;
import java.util.function.ToLongFunction;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.TableService;

/**
 * Spends slices of budgets that were taken from the table service ahead of need.
 *
 * <p>The entries together never hold more than a budget. Only the grace, which is spent while the
 * table service is away, and answers dearer than their reservation go beyond it. Thread-safe.
 */
public final class SlicedBudgetGate implements BudgetGate {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;
  private static final long DAY_MS = Duration.ofDays(1).toMillis();

  private final Map<String, TeamSlices> teams = new ConcurrentHashMap<>();
  private final Map<String, ReentrantLock> refills = new ConcurrentHashMap<>();
  private final BudgetTable table;
  private final ToLongFunction<String> budgetMicros;
  private final IntSupplier members;
  private final BudgetSettings settings;
  private final Clocks clocks;
  private final Executor refillExecutor;
  private volatile long storeAwayUntilNanos;

  /**
   * A gate of one life of an entry.
   *
   * @param budgetMicros the budget of a team in micro-units a day
   * @param refillExecutor takes slices ahead of need
   */
  public SlicedBudgetGate(
      TableService table,
      String entryLife,
      ToLongFunction<String> budgetMicros,
      IntSupplier members,
      BudgetSettings settings,
      Clocks clocks,
      Executor refillExecutor) {
    this.table = new BudgetTable(table, entryLife);
    this.budgetMicros = budgetMicros;
    this.members = members;
    this.settings = settings;
    this.clocks = clocks;
    this.refillExecutor = refillExecutor;
    this.storeAwayUntilNanos = clocks.monotonic().read();
  }

  @Override
  public Either<BudgetFailure, Reservation> reserve(String team, long maxMicros) {
    TeamSlices slices = slicesOf(team);
    Reservation reservation = slices.reserveHeld(maxMicros);
    if (reservation == null) {
      return reserveAfterRefill(slices, maxMicros);
    }
    if (slices.isLow() && !isStoreAway()) {
      refillExecutor.execute(() -> refillAhead(slices));
    }
    return Either.right(reservation);
  }

  private TeamSlices slicesOf(String team) {
    long today = Math.floorDiv(clocks.wall().millis(), DAY_MS);
    return teams.compute(
        team,
        (name, old) -> old != null && old.epochDay() >= today ? old : new TeamSlices(name, today));
  }

  private Either<BudgetFailure, Reservation> reserveAfterRefill(TeamSlices slices, long maxMicros) {
    ReentrantLock lock = refillLock(slices);
    lock.lock();
    try {
      Reservation held = slices.reserveHeld(maxMicros);
      if (held != null) {
        return Either.right(held);
      }
      return refill(slices, slices.missing(maxMicros))
          .fold(
              failure -> reserveOnGrace(slices, maxMicros, failure),
              done -> reserveFromSlice(slices, maxMicros));
    } finally {
      lock.unlock();
    }
  }

  private static Either<BudgetFailure, Reservation> reserveFromSlice(
      TeamSlices slices, long maxMicros) {
    Reservation reservation = slices.reserveHeld(maxMicros);
    return reservation == null
        ? Either.left(new BudgetFailure.Spent(slices.team()))
        : Either.right(reservation);
  }

  private Either<BudgetFailure, Reservation> reserveOnGrace(
      TeamSlices slices, long maxMicros, PlatformFailure failure) {
    long grace = settings.graceMicros(budgetMicros.applyAsLong(slices.team()), members.getAsInt());
    Reservation reservation = slices.reserveOnGrace(maxMicros, grace);
    return reservation == null
        ? Either.left(new BudgetFailure.StoreUnavailable(slices.team(), failure.reason()))
        : Either.right(reservation);
  }

  private void refillAhead(TeamSlices slices) {
    ReentrantLock lock = refillLock(slices);
    if (!lock.tryLock()) {
      return;
    }
    try {
      if (slices.isLow()) {
        refill(slices, slices.missing(0));
      }
    } finally {
      lock.unlock();
    }
  }

  private Either<PlatformFailure, Long> refill(TeamSlices slices, long missing) {
    if (isStoreAway()) {
      return Either.left(PlatformFailure.notApplied("the table service failed just now"));
    }
    long budget = budgetMicros.applyAsLong(slices.team());
    return table
        .add(
            BudgetRow.key(slices.team(), slices.epochDay()),
            taken -> settings.sliceMicros(budget, budget - taken, missing, members.getAsInt()))
        .peek(slices::addSlice)
        .peekLeft(this::noteFailure);
  }

  private void noteFailure(PlatformFailure failure) {
    storeAwayUntilNanos = clocks.monotonic().read() + settings.storeRetryInterval().toNanos();
    logger.atInfo().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
        "no slice of a budget taken: %s", failure);
  }

  private boolean isStoreAway() {
    return clocks.monotonic().read() - storeAwayUntilNanos < 0;
  }

  private ReentrantLock refillLock(TeamSlices slices) {
    return refills.computeIfAbsent(slices.team(), team -> new ReentrantLock());
  }

  @Override
  public void settle(Reservation reservation, long actualMicros) {
    TeamSlices slices = teams.get(reservation.team());
    if (slices != null && slices.epochDay() == reservation.epochDay()) {
      slices.settle(reservation, actualMicros);
    }
  }

  @Override
  public void close() {
    teams.values().forEach(this::giveBack);
  }

  private void giveBack(TeamSlices slices) {
    long held = slices.removeHeld();
    table
        .add(BudgetRow.key(slices.team(), slices.epochDay()), taken -> -Math.min(held, taken))
        .peekLeft(
            failure ->
                logger.atInfo().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                    "%d micros of %s not given back", held, slices.team()));
  }
}
