package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.gateway.internal.control.TextFormat.row;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.logging.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An entry starts while the store may have been restored from a copy. */
class StartConfirmationTest {
  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(PrintStream.nullOutputStream()));
  private final CurrentControlView currentView = new CurrentControlView(clock.clocks());
  private final ControlState state =
      new ControlState(new TextFormat(), currentView, control.eventLoop(), clock.clocks(), log);
  private final CompletableFuture<Boolean> othersRegistered = new CompletableFuture<>();
  private final CompletableFuture<Void> known = new CompletableFuture<>();
  private final CompletableFuture<Void> answered = new CompletableFuture<>();

  @BeforeEach
  void start() {
    control.freezeTime();
    state.start().awaitOthers(othersRegistered, known, () -> answered);
    state.backendsListener().onSnapshot(List.of(), clock.read());
    state.ordersListener().onSnapshot(List.of(row("config", "config 1", 1)), clock.read());
    state.ordersListener().onChecked(ClockReading.now(clock.clocks()));
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldNotBeReadyWithARestoredConfigurationBeforeOthersHaveAnswered() {
    othersRegistered.complete(true);
    known.complete(null);
    control.runPendingTasks();
    assertThat(currentView.isReady()).isFalse();

    state.onPeerConfig(row("config", "config 2", 2), clock.read());
    answered.complete(null);
    control.runPendingTasks();

    assertThat(currentView.isReady()).isFalse();
    assertThat(currentView.get().configVersion()).isEqualTo(2);
  }

  @Test
  void shouldBeReadyAtOnceWhenOthersKnowOfNothingNewer() {
    othersRegistered.complete(true);
    known.complete(null);
    answered.complete(null);
    control.runPendingTasks();

    assertThat(currentView.isReady()).isTrue();
  }

  @Test
  void shouldBeReadyAtOnceWhenNoOtherEntryIsRegistered() {
    othersRegistered.complete(false);
    control.runPendingTasks();

    assertThat(currentView.isReady()).isTrue();
  }

  @Test
  void shouldBeReadyAfterTheLimitWhenNobodyAnswers() {
    othersRegistered.complete(true);
    advance(StartConfirmation.LIMIT.minusMillis(1));
    assertThat(currentView.isReady()).isFalse();

    advance(Duration.ofMillis(1));

    assertThat(currentView.isReady()).isTrue();
  }

  private void advance(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toNanos(), TimeUnit.NANOSECONDS);
    control.runScheduledPendingTasks();
  }
}
