package org.guavagw.standins.table;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.PlatformFailure.Kind;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.Transaction;
import org.guavagw.standins.fault.CallOutcome;
import org.guavagw.standins.fault.FaultRates;
import org.junit.jupiter.api.Test;

class FaultyTableServiceTest {
  private static final RowKey KEY = new RowKey("bills", "r1");

  private final FaultyTableService tables = new FaultyTableService(new InMemoryTableService(), 1);

  @Test
  void shouldTakeEffectIfTheAnswerIsLost() {
    tables.faults().injectNext(CallOutcome.ANSWER_LOST);

    assertThat(put().getLeft().kind()).isEqualTo(Kind.UNKNOWN);
    assertThat(tables.read(KEY).get()).isPresent();
  }

  @Test
  void shouldHaveNoEffectIfTheRequestIsLostOrRefused() {
    tables.faults().injectNext(CallOutcome.REQUEST_LOST);
    tables.faults().injectNext(CallOutcome.REFUSED);

    assertThat(put().getLeft().kind()).isEqualTo(Kind.UNKNOWN);
    assertThat(put().getLeft().kind()).isEqualTo(Kind.NOT_APPLIED);
    assertThat(tables.read(KEY).get()).isEmpty();
  }

  @Test
  void shouldCountReadsAndWritesByTableDuringAnOutage() {
    tables.faults().down(true);
    put();
    tables.read(KEY);
    tables.faults().down(false);
    put();
    tables.range("other", "a", "b", 1);

    assertThat(tables.writes("bills")).isEqualTo(2);
    assertThat(tables.reads("bills")).isEqualTo(1);
    assertThat(tables.reads()).isEqualTo(2);
  }

  @Test
  void shouldDrawTheSameFaultsFromTheSameSeed() {
    assertThat(drawOutcomes(7)).isEqualTo(drawOutcomes(7)).contains(true, false);
    assertThat(drawOutcomes(7)).isNotEqualTo(drawOutcomes(8));
  }

  private static List<Boolean> drawOutcomes(long seed) {
    FaultyTableService t = new FaultyTableService(new InMemoryTableService(), seed);
    t.faults().rates(new FaultRates(0.2, 0.2, 0.2));
    List<Boolean> answered = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      answered.add(t.read(KEY).isRight());
    }
    return answered;
  }

  private Either<PlatformFailure, CommitResult> put() {
    return tables.commit(new Transaction(List.of(), List.of(new Mutation.Put(KEY, new byte[1]))));
  }
}
