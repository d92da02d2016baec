package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.gateway.internal.control.TextFormat.row;
import static org.guavagw.gateway.internal.control.TextFormat.serving;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.model.RolloutState;
import org.guavagw.gateway.model.RolloutStatus;
import org.guavagw.gateway.spi.StoredRow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What an entry still knows after the store was restored from a copy that lacks the last writes.
 */
class RestoredStoreTest {
  private static final Duration LAPSE_GRACE = Duration.ofMillis(2200);
  private static final Duration REWRITE_GRACE = Duration.ofSeconds(10);

  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(PrintStream.nullOutputStream()));
  private final CurrentControlView currentView = new CurrentControlView(clock.clocks());
  private final ControlState state =
      new ControlState(new TextFormat(), currentView, control.eventLoop(), clock.clocks(), log);

  @BeforeEach
  void start() {
    control.freezeTime();
    state
        .start()
        .awaitOthers(
            CompletableFuture.completedFuture(false),
            new CompletableFuture<>(),
            CompletableFuture::new);
    control.runPendingTasks();
    orders().onSnapshot(List.of(row("config", "config 2", 2)), clock.read());
    backends().onSnapshot(List.of(row("w1", "ready", 3), row("w2", "ready", 4)), clock.read());
    status().onSnapshot(List.of(), clock.read());
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldKeepTheNewerConfigurationAndNotTakeTheOlderOneAsProofThatKeysAreCurrent() {
    orders().onChecked(ClockReading.now(clock.clocks()));
    advance(Duration.ofSeconds(1));

    restoreOrders(row("config", "config 1", 1));
    assertThat(currentView.get().configVersion()).isEqualTo(2);
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(1));
    assertThat(state.configMissingInStore()).hasSize(1);

    orders().onChanges(List.of(row("config", "config 2", 2)), clock.read());
    orders().onChecked(ClockReading.now(clock.clocks()));
    assertThat(currentView.ordersAge()).isZero();
    assertThat(state.configMissingInStore()).isEmpty();
  }

  @Test
  void shouldTakeANewerConfigurationFromAPeerOnly() {
    state.onPeerConfig(row("config", "config 5", 9), clock.read());
    assertThat(currentView.get().configVersion()).isEqualTo(5);

    state.onPeerConfig(row("config", "config 4", 10), clock.read());
    assertThat(currentView.get().configVersion()).isEqualTo(5);
    assertThat(state.configNewerThan(4)).hasSize(1);
    assertThat(state.configNewerThan(5)).isEmpty();
  }

  @Test
  void shouldKeepAnEvacuationUntilTheOperatorsHadTimeToWriteItAgain() {
    orders().onChanges(List.of(row("evacuate/dc9", "evacuate dc9", 5)), clock.read());

    restoreOrders(row("config", "config 2", 2));
    assertThat(currentView.get().orders().evacuated()).containsExactly("dc9");
    advance(REWRITE_GRACE);

    assertThat(currentView.get().orders().evacuated()).isEmpty();
  }

  @Test
  void shouldKeepAnEvacuationThatIsWrittenAgain() {
    orders().onChanges(List.of(row("evacuate/dc9", "evacuate dc9", 5)), clock.read());
    restoreOrders(row("config", "config 2", 2));
    orders().onChanges(List.of(row("evacuate/dc9", "evacuate dc9", 3)), clock.read());
    advance(REWRITE_GRACE);

    assertThat(currentView.get().orders().evacuated()).containsExactly("dc9");
  }

  @Test
  void shouldKeepTheRollBackOfARolloutWhoseStatusWasLost() {
    orders().onChanges(List.of(row("rollout/engine", "rollout v2", 5)), clock.read());
    status().onChanges(List.of(row("rollout/engine", "status v2 RUNNING 100", 6)), clock.read());
    status().onChanges(List.of(row("rollout/engine", "status v2 ROLLED_BACK 100", 7)), 0);

    restoreOrders(row("config", "config 2", 2));
    status().onRestored(List.of(row("rollout/engine", "status v2 RUNNING 100", 6)), clock.read());

    RolloutStatus known = currentView.get().orders().statuses().get("engine");
    assertThat(known.state()).isEqualTo(RolloutState.ROLLED_BACK);
    assertThat(known.stored()).isFalse();
    assertThat(known.revision()).isEqualTo(6);
    assertThat(currentView.get().orders().rollouts()).containsKey("engine");
  }

  @Test
  void shouldKeepTheStartOfARolloutWhoseStatusWasLost() {
    status().onChanges(List.of(row("rollout/engine", "status v2 RUNNING 100", 6)), clock.read());
    status().onRestored(List.of(), clock.read());
    assertThat(currentView.get().orders().statuses().get("engine").revision()).isZero();

    // An entry that did not know of it has begun it anew.
    status().onChanges(List.of(row("rollout/engine", "status v2 RUNNING 900", 6)), clock.read());

    RolloutStatus known = currentView.get().orders().statuses().get("engine");
    assertThat(known.startedMillis()).isEqualTo(100);
    assertThat(known.stored()).isFalse();
    status().onChanges(List.of(row("rollout/engine", "status v2 RUNNING 100", 7)), clock.read());
    assertThat(currentView.get().orders().statuses().get("engine").stored()).isTrue();
  }

  @Test
  void shouldNotBringBackABackendServerThatWasDraining() {
    backends().onChanges(List.of(row("w1", "draining", 5)), clock.read());

    restoreBackends(row("w1", "ready", 3), row("w2", "ready", 4));

    assertThat(serving(currentView.get(), "w1")).isEmpty();
    assertThat(serving(currentView.get(), "w2")).isPresent();
  }

  @Test
  void shouldBringBackABackendServerThatWasGoneOnlyOnceItRegistersAgain() {
    backends().onChanges(List.of(new StoredRow("w1", new byte[0], 5, true)), clock.read());

    restoreBackends(row("w1", "ready", 3), row("w2", "ready", 4));
    assertThat(serving(currentView.get(), "w1")).isEmpty();

    backends().onChanges(List.of(row("w1", "ready", 5)), clock.read());
    assertThat(serving(currentView.get(), "w1")).isPresent();
  }

  @Test
  void shouldKeepABackendServerThatTheCopyLacksForTheTimeInWhichItRegistersAgain() {
    restoreBackends(row("w1", "ready", 3));
    advance(Duration.ofSeconds(1));
    assertThat(serving(currentView.get(), "w2")).isPresent();

    advance(LAPSE_GRACE);
    assertThat(serving(currentView.get(), "w2")).isEmpty();
  }

  private TableListener orders() {
    return state.ordersListener();
  }

  private TableListener backends() {
    return state.backendsListener();
  }

  private TableListener status() {
    return state.statusListener();
  }

  private void restoreOrders(StoredRow... copy) {
    state.storeRestored();
    orders().onRestored(List.of(copy), clock.read());
    orders().onChecked(ClockReading.now(clock.clocks()));
  }

  private void restoreBackends(StoredRow... copy) {
    state.storeRestored();
    backends().onRestored(List.of(copy), clock.read());
  }

  private void advance(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
  }
}
