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
  private static final Duration GRACE = Duration.ofMillis(2200);

  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final EventLog log = new EventLog("test", InstantSource.system(), System.out);
  private final CurrentControlView currentView = new CurrentControlView(clock.clocks());
  private final ControlState state =
      new ControlState(new SampleFormat(), currentView, control.eventLoop(), clock.clocks(), log);

  @BeforeEach
  void register() {
    control.freezeTime();
    state.backendsMirror().replace(List.of(present("w1", 1), present("w2", 2)), clock.read());
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldDropABackendServerWhoseEntryIsGone() {
    remove("w1", 3);

    assertThat(backends()).containsExactly("w2");
  }

  @Test
  void shouldKeepBackendServersWhoseEntriesGoWhileTheStoreIsAway() {
    state.storeLost();
    remove("w1", 3);

    assertThat(backends()).containsExactlyInAnyOrder("w1", "w2");
  }

  @Test
  void shouldDropABackendServerWhoseEntryIsStillGoneAfterTheReturnOfTheStore() {
    state.storeLost();
    remove("w1", 3);
    state.storeRegained(false);
    pass(GRACE);

    assertThat(backends()).containsExactly("w2");
  }

  @Test
  void shouldKeepABackendServerWhoseEntryIsBackAfterTheReturnOfTheStore() {
    state.storeLost();
    remove("w1", 3);
    state.storeRegained(false);
    state.backendsMirror().apply(List.of(present("w1", 4)), clock.read());
    pass(GRACE);

    assertThat(backends()).containsExactlyInAnyOrder("w1", "w2");
  }

  @Test
  void shouldKeepABackendServerWhoseEntryGoesJustAfterTheReturnOfTheStore() {
    state.storeLost();
    state.storeRegained(false);
    pass(Duration.ofMillis(500));
    remove("w1", 3);

    assertThat(backends()).containsExactlyInAnyOrder("w1", "w2");
  }

  private void remove(String id, long version) {
    state.backendsMirror().apply(List.of(new StoredRow(id, EMPTY, version, true)), clock.read());
  }

  private static StoredRow present(String id, long version) {
    return new StoredRow(id, EMPTY, version, false);
  }

  private List<String> backends() {
    return currentView.get().backends("engine").stream().map(s -> s.id()).toList();
  }

  private void pass(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
  }
}
