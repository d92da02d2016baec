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

class SlicedBudgetGateTest {
  private static final String TEAM = "team";
  private static final long BUDGET = 1_000_000;
  private static final int MEMBERS = 4;
  private static final BudgetSettings SETTINGS = BudgetSettings.standard();
  private static final long GRACE_OF_ALL = (long) (BUDGET * SETTINGS.graceFraction());

  private final ManualClocks time = new ManualClocks();
  private final ScriptedTable table = new ScriptedTable(new InMemoryTableService());
  private int lives;

  private BudgetGate gate(ScriptedTable view) {
    return new SlicedBudgetGate(
        view, "life" + lives++, t -> BUDGET, () -> MEMBERS, SETTINGS, time.clocks(), Runnable::run);
  }

  @Test
  void shouldSpendWholeBudgetAndNoMoreOverAllEntries() {
    List<BudgetGate> gates = List.of(gate(table), gate(table.peer()), gate(table.peer()));
    assertThat(spendAll(gates, 1_000)).isEqualTo(BUDGET);
  }

  @Test
  void shouldGiveBackWhatIsUnspent() {
    BudgetGate leaving = gate(table);
    Reservation reservation = leaving.reserve(TEAM, 5_000).get();
    leaving.settle(reservation, 1_000);
    leaving.settle(reservation, 1_000);
    leaving.close();
    assertThat(spendAll(List.of(gate(table.peer())), 1_000)).isEqualTo(BUDGET - 1_000);
  }

  @Test
  void shouldSpendHeldSliceAndThenOnlyGraceWhileStoreIsDown() {
    BudgetGate gate = gate(table);
    gate.reserve(TEAM, 1_000);
    table.down(true);
    long slice = BUDGET / SETTINGS.slicesPerMember() / MEMBERS;
    long spent = 1_000 + spendAll(List.of(gate), 500);
    assertThat(spent).isBetween(slice, 2 * slice + GRACE_OF_ALL / MEMBERS);
    assertThat(gate.reserve(TEAM, 500).getLeft())
        .isInstanceOf(BudgetFailure.StoreUnavailable.class);
  }

  @Test
  void shouldPayDebtFromNextSlice() {
    BudgetGate gate = gate(table);
    table.down(true);
    long onGrace = spendAll(List.of(gate), 500);
    assertThat(onGrace).isEqualTo(GRACE_OF_ALL / MEMBERS);
    table.down(false);
    time.advance(SETTINGS.storeRetryInterval());
    assertThat(onGrace + spendAll(List.of(gate), 500)).isEqualTo(BUDGET);
  }

  @Test
  void shouldNotTakeSliceTwiceWhenAnswerIsLost() {
    BudgetGate gate = gate(table);
    table.loseAnswers(1);
    gate.reserve(TEAM, 1_000);
    assertThat(1_000 + spendAll(List.of(gate), 1_000)).isEqualTo(BUDGET);
  }

  @Test
  void shouldStartNewBudgetEachDay() {
    BudgetGate gate = gate(table);
    spendAll(List.of(gate), 1_000);
    Reservation late = gate.reserve(TEAM, 0).get();
    time.advance(Duration.ofDays(1));
    assertThat(spendAll(List.of(gate), 1_000)).isEqualTo(BUDGET);
    gate.settle(late, -1_000);
    assertThat(gate.reserve(TEAM, 1).isLeft()).isTrue();
  }

  @Test
  void shouldWriteLittleForWholeBudget() {
    List<BudgetGate> gates = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      gates.add(gate(table));
    }
    spendAll(gates, 10);
    assertThat(table.commits()).isLessThan(250);
  }

  @Property(tries = 50, seed = "5")
  void shouldNeverOverspendBeyondBoundUnderFaults(@ForAll long seed) {
    Random random = new Random(seed);
    ScriptedTable store = new ScriptedTable(new InMemoryTableService());
    List<ScriptedTable> views = new ArrayList<>();
    List<BudgetGate> gates = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      views.add(store.peer());
      views.get(i).loseAtRandom(0.2, random.nextLong());
      gates.add(gate(views.get(i)));
    }
    long spent = 0;
    for (int i = 0; i < 3_000; i++) {
      int at = random.nextInt(MEMBERS);
      views.get(at).down(random.nextInt(10) == 0);
      Either<BudgetFailure, Reservation> reservation = gates.get(at).reserve(TEAM, 2_000);
      if (reservation.isRight()) {
        long actual = random.nextInt(2_001);
        gates.get(at).settle(reservation.get(), actual);
        spent += actual;
      }
      if (random.nextInt(200) == 0) {
        gates.get(at).close();
        gates.set(at, gate(views.get(at)));
      }
      time.advance(Duration.ofMillis(random.nextInt(500)));
    }
    assertThat(spent).isLessThanOrEqualTo(BUDGET + GRACE_OF_ALL * (1 + lives / MEMBERS));
  }

  private static long spendAll(List<BudgetGate> gates, long each) {
    long spent = 0;
    boolean anySpent = true;
    while (anySpent) {
      anySpent = false;
      for (BudgetGate gate : gates) {
        Either<BudgetFailure, Reservation> reservation = gate.reserve(TEAM, each);
        if (reservation.isRight()) {
          gate.settle(reservation.get(), each);
          spent += each;
          anySpent = true;
        }
      }
    }
    return spent;
  }
}
