package org.guavagw.internal.lease;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
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

class TableLeaseServiceTest {
  private static final LeaseSettings SETTINGS =
      new LeaseSettings(Duration.ofSeconds(15), Duration.ofSeconds(2));
  private static final String NAME = "cold-start/server-1";

  private final ManualClocks time = new ManualClocks();
  private final ScriptedTable table = new ScriptedTable(new InMemoryTableService());
  private final ScriptedTable otherTable = table.peer();
  private final TableLeaseService first = service(table, "a");
  private final TableLeaseService second = service(otherTable, "b");

  private TableLeaseService service(ScriptedTable view, String name) {
    return new TableLeaseService(
        view, new LeaseHolder(name, 1), SETTINGS, time.clocks().monotonic());
  }

  @Test
  void shouldStopBeingSafeBeforeAnotherProcessCanAcquire() {
    Lease lease = first.acquire(NAME).get();
    second.acquire(NAME);
    time.advance(Duration.ofSeconds(13));
    assertThat(lease.isSafe()).isFalse();
    assertThat(second.acquire(NAME).getLeft()).isEqualTo(new LeaseFailure.HeldByOther("a"));
    time.advance(Duration.ofSeconds(2));
    assertThat(second.acquire(NAME).get().fencingNumber()).isGreaterThan(lease.fencingNumber());
  }

  @Test
  void shouldMeasureDurationFromBeforeWriteWasSent() {
    table.beforeNextCommit(() -> time.advance(Duration.ofSeconds(14)));
    assertThat(first.acquire(NAME).get().isSafe()).isFalse();
  }

  @Test
  void shouldWaitFullDurationAfterEachRenewalRegardlessOfWallClock() {
    first.acquire(NAME);
    second.acquire(NAME);
    time.advance(Duration.ofSeconds(10));
    first.renewAll();
    second.acquire(NAME);
    time.advance(Duration.ofSeconds(14));
    time.jumpWall(Duration.ofDays(1));
    assertThat(second.acquire(NAME).isLeft()).isTrue();
  }

  @Test
  void shouldKeepLeaseWhenAnswersToWritesAreLost() {
    table.loseAnswers(1);
    assertThat(first.acquire(NAME).get().isSafe()).isTrue();
    table.loseAnswers(1);
    time.advance(Duration.ofSeconds(10));
    first.renewAll();
    time.advance(Duration.ofSeconds(10));
    assertThat(first.held(NAME)).isPresent();
  }

  @Test
  void shouldGrantReleasedLeaseAtOnceWithHigherFencingNumber() {
    long before = first.acquire(NAME).get().fencingNumber();
    first.close();
    assertThat(second.acquire(NAME).get().fencingNumber()).isGreaterThan(before);
  }

  @Test
  void shouldStayUnsafeAfterPauseEvenIfAcquiredAgain() {
    Lease old = first.acquire(NAME).get();
    time.advance(Duration.ofMinutes(1));
    Lease again = first.acquire(NAME).get();
    assertThat(old.isSafe()).isFalse();
    assertThat(again.fencingNumber()).isGreaterThan(old.fencingNumber());
  }

  @Test
  void shouldRenewAllLeasesInOneTransaction() {
    for (int i = 0; i < 30; i++) {
      first.acquire(NAME + i);
    }
    int before = table.commits();
    time.advance(SETTINGS.renewalInterval());
    first.renewAll();
    assertThat(table.commits() - before).isEqualTo(1);
  }

  @Property(tries = 60, seed = "20")
  void shouldNeverHaveTwoSafeHolders(@ForAll long seed) {
    Random random = new Random(seed);
    ManualClocks trueTime = new ManualClocks();
    ScriptedTable store = new ScriptedTable(new InMemoryTableService());
    List<TableLeaseService> services = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      ScriptedTable view = store.peer();
      view.loseAtRandom(0.15, random.nextLong());
      double rate = 0.96 + 0.08 * random.nextDouble();
      services.add(
          new TableLeaseService(
              view, new LeaseHolder("p" + i, 1), SETTINGS, driftingTicker(trueTime, rate)));
    }
    long highest = 0;
    for (int step = 0; step < 400; step++) {
      TableLeaseService service = services.get(random.nextInt(services.size()));
      if (random.nextInt(20) == 0) {
        service.release(NAME);
      } else {
        Either<LeaseFailure, Lease> lease = service.acquire(NAME);
        highest = lease.isRight() ? Math.max(highest, lease.get().fencingNumber()) : highest;
      }
      trueTime.advance(Duration.ofMillis(random.nextInt(4_000)));
      List<Lease> safe = services.stream().flatMap(s -> s.held(NAME).stream()).toList();
      assertThat(safe).hasSizeLessThanOrEqualTo(1);
      long newest = highest;
      assertThat(safe).allMatch(l -> l.fencingNumber() == newest);
    }
  }

  private static Ticker driftingTicker(ManualClocks trueTime, double rate) {
    Ticker exact = trueTime.clocks().monotonic();
    return new Ticker() {
      @Override
      public long read() {
        return (long) (exact.read() * rate);
      }
    };
  }
}
