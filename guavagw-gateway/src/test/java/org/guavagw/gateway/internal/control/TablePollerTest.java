package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
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
  private static final Duration POLL_TIMEOUT = Duration.ofMillis(1500);

  private final ManualClock clock = new ManualClock();
  private final ScriptedStore store = new ScriptedStore();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final EventLog log = new EventLog("test", InstantSource.system(), System.out);
  private final StoreHealth health = new StoreHealth("probe");
  private final List<String> changedKeys = new ArrayList<>();
  private TablePoller poller;
  private ClockReading lastChecked;

  @BeforeEach
  void start() {
    control.freezeTime();
    PollTiming timing =
        new PollTiming(() -> POLL_TIMEOUT, () -> Duration.ZERO, () -> Duration.ZERO);
    TableReplica replica = new TableReplica(TABLE, new CheckRecorder());
    poller =
        new TablePoller(
            replica,
            timing,
            store,
            health,
            new StoreEra(previous -> poller.reload()),
            new NoListener(),
            control.eventLoop(),
            clock.clocks(),
            log);
    poller.start();
    store.answer(TABLE, 7);
    store.answer(TABLE, 7);
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldCountTheHoldTimeOfAnEmptyAnswerAsTimeWithoutChanges() {
    clock.advance(POLL_TIMEOUT);
    store.answer(TABLE, 7);

    assertThat(lastChecked.age(clock.clocks())).isLessThan(Duration.ofMillis(100));
  }

  @Test
  void shouldDateAnAnswerBackToItsCallAfterASuspension() {
    clock.stepWall(Duration.ofSeconds(6));
    store.answer(TABLE, 7);

    assertThat(lastChecked.age(clock.clocks())).isEqualTo(Duration.ofSeconds(6));
  }

  @Test
  void shouldDelayTheFirstPollUntilItIsToldToStart() {
    PollTiming timing =
        new PollTiming(() -> POLL_TIMEOUT, () -> Duration.ZERO, () -> Duration.ofSeconds(1));
    TablePoller delayed =
        new TablePoller(
            new TableReplica("delayed", new CheckRecorder()),
            timing,
            store,
            health,
            new StoreEra(previous -> {}),
            new NoListener(),
            control.eventLoop(),
            clock.clocks(),
            log);
    delayed.start();
    store.answer("delayed", 7);
    assertThat(store.hasPending("delayed")).isFalse();

    delayed.startPolls();
    assertThat(store.pending("delayed").kind()).isEqualTo("feed");
    advance(Duration.ofSeconds(2));
    assertThat(store.calls("delayed")).hasSize(2);
  }

  @Test
  void shouldReadTheWholeTableAnewWhenAnyAnswerShowsANewEra() {
    store.setEra(1);
    store.answer(TABLE, 7);
    assertThat(store.pending(TABLE).kind()).isEqualTo("read");

    store.answer(TABLE, 3, row("a", 2));
    assertThat(changedKeys).containsExactly("a");
    assertThat(store.pending(TABLE).since()).isEqualTo(3);
  }

  @Test
  void shouldTakeNoteOfTheEraOfARefusal() {
    store.setEra(1);
    store.fail(TABLE, StoreFailure.Kind.HISTORY_LOST);

    assertThat(store.pending(TABLE).kind()).isEqualTo("read");
  }

  @Test
  void shouldIgnoreALateAnswerOfAnEarlierEra() {
    store.setEra(2);
    store.answer(TABLE, 7);
    store.answer(TABLE, 3, row("a", 2));
    store.setEra(1);
    store.answer(TABLE, 9, row("late", 8));

    assertThat(changedKeys).containsExactly("a");
    advance(Duration.ofMillis(300));
    assertThat(store.pending(TABLE).since()).isEqualTo(3);
  }

  @Test
  void shouldRetrySoonAfterAFailure() {
    store.fail(TABLE, StoreFailure.Kind.REFUSED);
    advance(Duration.ofMillis(300));

    assertThat(store.hasPending(TABLE)).isTrue();
  }

  @Test
  void shouldWaitForTheProbeTableBeforeItRetries() {
    health.onFailure("probe");
    store.fail(TABLE, StoreFailure.Kind.REFUSED);
    advance(Duration.ofSeconds(3));
    assertThat(store.hasPending(TABLE)).isFalse();

    poller.retryNow();

    assertThat(store.hasPending(TABLE)).isTrue();
  }

  @Test
  void shouldNotLongPollInTheFirstCallAfterAFailure() {
    store.fail(TABLE, StoreFailure.Kind.NO_ANSWER);
    advance(Duration.ofMillis(300));

    assertThat(store.pending(TABLE).timeout()).isLessThan(Duration.ofMillis(10));
  }

  @Test
  void shouldNotWaitForThePendingAnswerOnRefresh() {
    int before = store.calls(TABLE).size();
    poller.refresh();

    assertThat(store.calls(TABLE)).hasSize(before + 1);
    assertThat(store.calls(TABLE).get(before).timeout()).isLessThan(Duration.ofMillis(10));
  }

  @Test
  void shouldReadTheWholeTableWhenTheHistoryIsLost() {
    store.fail(TABLE, StoreFailure.Kind.HISTORY_LOST);

    assertThat(store.pending(TABLE).kind()).isEqualTo("read");
  }

  private void advance(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
  }

  private static StoredRow row(String key, long version) {
    return new StoredRow(key, new byte[0], version, false);
  }

  /** Keeps the keys that changed and the time of the last check. */
  private final class CheckRecorder implements TableListener {
    @Override
    public void onSnapshot(List<StoredRow> rows, long nowNanos) {
      onChanges(rows, nowNanos);
    }

    @Override
    public void onChanges(List<StoredRow> rows, long nowNanos) {
      rows.forEach(row -> changedKeys.add(row.key()));
    }

    @Override
    public void onChecked(ClockReading at) {
      lastChecked = at;
    }
  }

  /** Ignores all events. */
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
    public void onStoreRecovered() {
      // nothing depends on it here
    }
  }
}
