package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.StoreFailure;
import org.guavagw.gateway.spi.StoredRow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TablePollerTest {
  private static final String TABLE = "orders";
  private static final Duration WAIT = Duration.ofMillis(1500);

  private final ManualClock clock = new ManualClock();
  private final ScriptedStore store = new ScriptedStore();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final EventLog log = new EventLog("test", InstantSource.system(), System.out);
  private final StoreHealth health = new StoreHealth("probe");
  private TablePoller watch;
  private ClockReading checked;

  @BeforeEach
  void start() {
    control.freezeTime();
    PollTiming pace = new PollTiming(() -> WAIT, () -> Duration.ZERO);
    TableReplica replica = new TableReplica(TABLE, new CheckedMirror());
    watch =
        new TablePoller(
            replica,
            pace,
            store,
            health,
            new NoListener(),
            control.eventLoop(),
            clock.clocks(),
            log);
    watch.start();
    store.answer(TABLE, 7);
    store.answer(TABLE, 7);
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldCountTheWaitOfAnEmptyAnswerAsTimeInWhichNothingChanged() {
    clock.advance(WAIT);
    store.answer(TABLE, 7);

    assertThat(checked.age(clock.clocks())).isLessThan(Duration.ofMillis(100));
  }

  @Test
  void shouldTakeAnAnswerAsOldAsItsQuestionAfterASuspension() {
    clock.stepWall(Duration.ofSeconds(6));
    store.answer(TABLE, 7);

    assertThat(checked.age(clock.clocks())).isEqualTo(Duration.ofSeconds(6));
  }

  @Test
  void shouldAskAgainSoonAfterAFailure() {
    store.fail(TABLE, StoreFailure.Kind.REFUSED);
    pass(Duration.ofMillis(300));

    assertThat(store.hasOpen(TABLE)).isTrue();
  }

  @Test
  void shouldLeaveItToTheProbeToFindOutThatTheStoreIsBack() {
    health.onFailure("probe");
    store.fail(TABLE, StoreFailure.Kind.REFUSED);
    pass(Duration.ofSeconds(3));
    assertThat(store.hasOpen(TABLE)).isFalse();

    watch.retryNow();

    assertThat(store.hasOpen(TABLE)).isTrue();
  }

  @Test
  void shouldNotWaitForChangesInTheFirstCallAfterAFailure() {
    store.fail(TABLE, StoreFailure.Kind.NO_ANSWER);
    pass(Duration.ofMillis(300));

    assertThat(store.open(TABLE).patience()).isLessThan(Duration.ofMillis(10));
  }

  @Test
  void shouldNotWaitForTheAnswerUnderWayWhenItIsToRefresh() {
    int before = store.calls(TABLE).size();
    watch.refresh();

    assertThat(store.calls(TABLE)).hasSize(before + 1);
    assertThat(store.calls(TABLE).get(before).patience()).isLessThan(Duration.ofMillis(10));
  }

  @Test
  void shouldReadTheWholeTableWhereHistoryWasLost() {
    store.fail(TABLE, StoreFailure.Kind.HISTORY_LOST);

    assertThat(store.open(TABLE).kind()).isEqualTo("read");
  }

  private void pass(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
  }

  /** Keeps the last check. */
  private final class CheckedMirror implements TableListener {
    @Override
    public void replace(List<StoredRow> rows, long nowNanos) {
      // only the checks matter here
    }

    @Override
    public void apply(List<StoredRow> rows, long nowNanos) {
      // only the checks matter here
    }

    @Override
    public void checked(ClockReading moment) {
      checked = moment;
    }
  }

  /** Hears nothing. */
  private static final class NoListener implements StoreListener {
    @Override
    public void onReplicaChanged() {
      // nobody follows this entry
    }

    @Override
    public void onStoreLost() {
      // nothing depends on it here
    }

    @Override
    public void onStoreRegained() {
      // nothing depends on it here
    }
  }
}
