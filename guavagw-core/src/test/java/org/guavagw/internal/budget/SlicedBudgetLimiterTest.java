package org.guavagw.internal.budget;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.guavagw.internal.durable.ManualClocks;
import org.guavagw.internal.durable.ScriptedTable;
import org.guavagw.standins.table.InMemoryTableService;
import org.junit.jupiter.api.Test;

class SlicedBudgetLimiterTest {
  private static final String TEAM = "team";
  private static final long BUDGET = 1_000_000;
  private static final int MEMBERS = 4;
  private static final BudgetSettings SETTINGS = BudgetSettings.standard();
  private static final long TOTAL_OVERDRAFT = (long) (BUDGET * SETTINGS.overdraftFraction());

  private ManualClocks time = new ManualClocks();
  private final ScriptedTable table = new ScriptedTable(new InMemoryTableService());
  private int incarnations;

  private BudgetLimiter limiter(ScriptedTable view) {
    return new SlicedBudgetLimiter(
        view,
        "incarnation" + incarnations++,
        t -> BUDGET,
        () -> MEMBERS,
        SETTINGS,
        time.clocks(),
        Runnable::run);
  }

  @Test
  void shouldSpendWholeBudgetAndNoMoreOverAllEntries() {
    List<BudgetLimiter> limiters =
        List.of(limiter(table), limiter(table.peer()), limiter(table.peer()));
    assertThat(spendAll(limiters, 1_000)).isEqualTo(BUDGET);
  }

  @Test
  void shouldReturnUnspentBudgetOnClose() {
    BudgetLimiter stopping = limiter(table);
    Reservation reservation = stopping.reserve(TEAM, 5_000).get();
    stopping.settle(reservation, 1_000);
    stopping.settle(reservation, 1_000);
    stopping.close();
    assertThat(spendAll(List.of(limiter(table.peer())), 1_000)).isEqualTo(BUDGET - 1_000);
  }

  @Test
  void shouldSpendHeldSliceAndThenOnlyOverdraftWhileStoreIsDown() {
    BudgetLimiter limiter = limiter(table);
    limiter.reserve(TEAM, 1_000);
    table.down(true);
    long slice = BUDGET / SETTINGS.slicesPerMember() / MEMBERS;
    long spent = 1_000 + spendAll(List.of(limiter), 500);
    assertThat(spent).isBetween(slice, 2 * slice + TOTAL_OVERDRAFT / MEMBERS);
    assertThat(limiter.reserve(TEAM, 500).getLeft())
        .isInstanceOf(BudgetFailure.StoreUnavailable.class);
  }

  @Test
  void shouldDeductOverdraftFromNextSlice() {
    BudgetLimiter limiter = limiter(table);
    table.down(true);
    long overdraft = spendAll(List.of(limiter), 500);
    assertThat(overdraft).isEqualTo(TOTAL_OVERDRAFT / MEMBERS);
    table.down(false);
    time.advance(SETTINGS.storeRetryInterval());
    assertThat(overdraft + spendAll(List.of(limiter), 500)).isEqualTo(BUDGET);
  }

  @Test
  void shouldNotTakeSliceTwiceWhenAnswerIsLost() {
    BudgetLimiter limiter = limiter(table);
    table.loseAnswers(1);
    limiter.reserve(TEAM, 1_000);
    assertThat(1_000 + spendAll(List.of(limiter), 1_000)).isEqualTo(BUDGET);
  }

  @Test
  void shouldNotTakeSliceThatAnotherEntryTakesConcurrently() {
    BudgetLimiter limiter = limiter(table);
    BudgetLimiter other = limiter(table.peer());
    table.beforeNextCommit(() -> other.settle(other.reserve(TEAM, 1_000).get(), 0));
    limiter.settle(limiter.reserve(TEAM, 1_000).get(), 0);
    assertThat(spendAll(List.of(limiter, other), 1_000)).isEqualTo(BUDGET);
  }

  @Test
  void shouldStartNewBudgetEachDay() {
    BudgetLimiter limiter = limiter(table);
    Reservation late = limiter.reserve(TEAM, 5_000).get();
    spendAll(List.of(limiter), 1_000);
    time.advance(Duration.ofDays(1));
    Reservation today = limiter.reserve(TEAM, 1_000).get();
    limiter.settle(late, 0);
    limiter.settle(today, 1_000);
    assertThat(1_000 + spendAll(List.of(limiter), 1_000)).isEqualTo(BUDGET);
  }

  @Test
  void shouldNotReadStoreForEachRequestOfTeamWithSpentBudget() {
    BudgetLimiter limiter = limiter(table);
    spendAll(List.of(limiter), 1_000);
    int before = table.reads();
    for (int i = 0; i < 1_000; i++) {
      assertThat(limiter.reserve(TEAM, 1).getLeft()).isInstanceOf(BudgetFailure.Spent.class);
      time.advance(Duration.ofMillis(10));
    }
    assertThat(table.reads() - before).isLessThanOrEqualTo(3);
  }

  @Test
  void shouldSpendWholeBudgetWithFewWrites() {
    List<BudgetLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      limiters.add(limiter(table));
    }
    spendAll(limiters, 10);
    assertThat(table.commits()).isLessThan(250);
  }

  @Property(tries = 50, seed = "5")
  void shouldNeverOverspendBeyondOverdraftUnderFaults(@ForAll long seed) {
    // the tries of a property share one instance
    incarnations = 0;
    time = new ManualClocks();
    Random random = new Random(seed);
    ScriptedTable store = new ScriptedTable(new InMemoryTableService());
    List<ScriptedTable> views = new ArrayList<>();
    List<BudgetLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      views.add(store.peer());
      views.get(i).loseAtRandom(0.2, random.nextLong());
      limiters.add(limiter(views.get(i)));
    }
    long spent = 0;
    for (int i = 0; i < 3_000; i++) {
      int index = random.nextInt(MEMBERS);
      views.get(index).down(random.nextInt(10) == 0);
      Either<BudgetFailure, Reservation> reservation = limiters.get(index).reserve(TEAM, 2_000);
      if (reservation.isRight()) {
        long actual = random.nextInt(2_001);
        limiters.get(index).settle(reservation.get(), actual);
        spent += actual;
      }
      if (random.nextInt(200) == 0) {
        limiters.get(index).close();
        limiters.set(index, limiter(views.get(index)));
      }
      time.advance(Duration.ofMillis(random.nextInt(500)));
    }
    assertThat(spent).isLessThanOrEqualTo(BUDGET + TOTAL_OVERDRAFT * (1 + incarnations / MEMBERS));
  }

  private static long spendAll(List<BudgetLimiter> limiters, long each) {
    long spent = 0;
    boolean anySpent = true;
    while (anySpent) {
      anySpent = false;
      for (BudgetLimiter limiter : limiters) {
        Either<BudgetFailure, Reservation> reservation = limiter.reserve(TEAM, each);
        if (reservation.isRight()) {
          limiter.settle(reservation.get(), each);
          spent += each;
          anySpent = true;
        }
      }
    }
    return spent;
  }
}
