package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.StoredRow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ControlStateTest {
  private static final byte[] EMPTY = new byte[0];
  private static final Duration LAPSE_GRACE = Duration.ofMillis(2200);

  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final EventLog log = new EventLog("test", InstantSource.system(), System.out);
  private final CurrentControlView currentView = new CurrentControlView(clock.clocks());
  private final ControlState state =
      new ControlState(new SampleFormat(), currentView, control.eventLoop(), clock.clocks(), log);

  @BeforeEach
  void register() {
    control.freezeTime();
    state
        .backendsListener()
        .onSnapshot(List.of(registered("w1", 1), registered("w2", 2)), clock.read());
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldRemoveABackendServerWhoseRegistrationIsGone() {
    remove("w1", 3);

    assertThat(backends()).containsExactly("w2");
  }

  @Test
  void shouldReadTheOtherRowsIfOneCannotBeDecoded() {
    state
        .backendsListener()
        .onChanges(
            List.of(registered(SampleFormat.THROWING_KEY, 3), registered("w3", 4)), clock.read());

    assertThat(backends()).containsExactlyInAnyOrder("w1", "w2", "w3");
  }

  @Test
  void shouldKeepBackendServersWhoseRegistrationsLapseDuringAStoreOutage() {
    state.storeLost();
    remove("w1", 3);

    assertThat(backends()).containsExactlyInAnyOrder("w1", "w2");
  }

  @Test
  void shouldRemoveABackendServerThatDoesNotRegisterAgainAfterAStoreOutage() {
    state.storeLost();
    remove("w1", 3);
    state.storeRecovered(false);
    advance(LAPSE_GRACE);

    assertThat(backends()).containsExactly("w2");
  }

  @Test
  void shouldKeepABackendServerThatRegistersAgainAfterAStoreOutage() {
    state.storeLost();
    remove("w1", 3);
    state.storeRecovered(false);
    state.backendsListener().onChanges(List.of(registered("w1", 4)), clock.read());
    advance(LAPSE_GRACE);

    assertThat(backends()).containsExactlyInAnyOrder("w1", "w2");
  }

  @Test
  void shouldKeepABackendServerWhoseRegistrationLapsesJustAfterAStoreOutage() {
    state.storeLost();
    state.storeRecovered(false);
    advance(Duration.ofMillis(500));
    remove("w1", 3);

    assertThat(backends()).containsExactlyInAnyOrder("w1", "w2");
  }

  private void remove(String id, long version) {
    state
        .backendsListener()
        .onChanges(List.of(new StoredRow(id, EMPTY, version, true)), clock.read());
  }

  private static StoredRow registered(String id, long version) {
    return new StoredRow(id, EMPTY, version, false);
  }

  private List<String> backends() {
    return currentView.get().backends("engine").stream().map(s -> s.id()).toList();
  }

  private void advance(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
  }
}
