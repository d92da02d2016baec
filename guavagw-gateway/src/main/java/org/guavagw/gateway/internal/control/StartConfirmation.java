package org.guavagw.gateway.internal.control;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.logging.EventLog;

/**
 * Holds checks of the orders back until this entry, which has just started, has asked others for a
 * newer configuration.
 *
 * <p>The store may have been restored from a copy before this entry started, and only others can
 * know of what the copy lacks. Invariant: no check is passed on before others were asked, no other
 * entry was registered, or the limit has passed since the first check. Confined to the control
 * thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class StartConfirmation {
  /**
   * Time after which an entry serves although others have not answered, as they may all be gone. A
   * few round trips, and the pause after which further entries are asked.
   */
  static final Duration LIMIT = Duration.ofMillis(1500);

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Consumer<ClockReading> checks;
  private final ScheduledExecutorService control;
  private final Ticker ticker;
  private final EventLog log;
  private final long begunNanos;
  private Optional<ClockReading> lastCheck = Optional.empty();
  private boolean confirmed;

  /**
   * Creates an instance that holds checks back.
   *
   * @param checks receives the checks from then on
   */
  StartConfirmation(
      Consumer<ClockReading> checks,
      ScheduledExecutorService control,
      Ticker ticker,
      EventLog log) {
    this.checks = checks;
    this.control = control;
    this.ticker = ticker;
    this.log = log;
    this.begunNanos = ticker.read();
  }

  /**
   * Begins to wait for other entries.
   *
   * @param othersRegistered whether the store has the registration of any other entry
   * @param known completes when the other entries are known and can be asked
   * @param ask asks them; completes when those that live have answered
   */
  void awaitOthers(
      CompletionStage<Boolean> othersRegistered,
      CompletionStage<Void> known,
      Supplier<CompletionStage<Void>> ask) {
    othersRegistered.thenAcceptAsync(
        others -> {
          if (!others) {
            confirm("no other entry is registered");
          }
        },
        control);
    known
        .thenComposeAsync(ignored -> ask.get(), control)
        .thenRunAsync(() -> confirm("other entries were asked"), control);
  }

  /** Passes a check of the orders on, or keeps it until the start is confirmed. */
  void onChecked(ClockReading at) {
    if (confirmed) {
      checks.accept(at);
      return;
    }
    if (lastCheck.isEmpty()) {
      control.schedule(
          () -> confirm("no answer within the limit"), LIMIT.toMillis(), TimeUnit.MILLISECONDS);
    }
    lastCheck = Optional.of(at);
  }

  private void confirm(String reason) {
    if (confirmed) {
      return;
    }
    confirmed = true;
    log.event("start_confirmed")
        .with("reason", reason)
        .with("after_ms", (ticker.read() - begunNanos) / NANOS_PER_MILLI)
        .write();
    lastCheck.ifPresent(checks);
  }
}
