package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoreFailure;
import org.guavagw.internal.time.Clocks;

/**
 * Follows one table: reads it whole, then waits for changes, and reads it whole again where history
 * was lost. Confined to the control thread.
 *
 * <p>Invariant: the mirror gets versions in ascending order; a change is taken once or is part of a
 * whole read.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class TableWatch {
  /** Pause after a failed call: short against the bounds on configuration, long against a call. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

  /** Allowance for clocks and timers when an empty answer proves how long the store has waited. */
  private static final Duration WAIT_SLACK = Duration.ofMillis(50);

  private final String table;
  private final Duration wait;
  private final Supplier<Duration> pause;
  private final ControlStore store;
  private final TableMirror mirror;
  private final ScheduledExecutorService control;
  private final Clocks clocks;
  private final EventLog log;
  private long version;
  private boolean mirrored;
  private boolean failing;
  private boolean closed;

  /**
   * A watch.
   *
   * @param wait how long the store waits for a change
   * @param pause time after a change in which further ones gather, to be taken with one call
   */
  TableWatch(
      String table,
      Duration wait,
      Supplier<Duration> pause,
      ControlStore store,
      TableMirror mirror,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log) {
    this.table = table;
    this.wait = wait;
    this.pause = pause;
    this.store = store;
    this.mirror = mirror;
    this.control = control;
    this.clocks = clocks;
    this.log = log;
  }

  void start() {
    if (closed) {
      return;
    }
    Moment sent = Moment.now(clocks);
    if (mirrored) {
      store
          .changesSince(table, version, wait)
          .whenComplete((batch, failure) -> onChanges(sent, batch, failure));
    } else {
      store.readAll(table).whenComplete((batch, failure) -> onWholeTable(sent, batch, failure));
    }
  }

  void close() {
    closed = true;
  }

  private void onWholeTable(Moment sent, RowBatch batch, Throwable failure) {
    if (failure != null) {
      retryLater(failure);
      return;
    }
    if (batch.version() >= version) {
      version = batch.version();
      mirrored = true;
      mirror.storeClock(batch.storeMillis(), nowNanos());
      noteRegained();
      mirror.replace(batch.rows(), nowNanos());
      mirror.checked(sent);
    }
    start();
  }

  private void onChanges(Moment sent, RowBatch batch, Throwable failure) {
    if (failure != null) {
      retryLater(failure);
      return;
    }
    noteRegained();
    version = Math.max(version, batch.version());
    mirror.storeClock(batch.storeMillis(), nowNanos());
    if (batch.rows().isEmpty()) {
      long waited = Math.min(nowNanos() - sent.nanos(), wait.minus(WAIT_SLACK).toNanos());
      mirror.checked(sent.plus(Duration.ofNanos(Math.max(0, waited))));
    } else {
      mirror.apply(batch.rows(), nowNanos());
      mirror.checked(sent);
    }
    Duration gathering = batch.rows().isEmpty() ? Duration.ZERO : pause.get();
    if (gathering.isZero()) {
      start();
    } else {
      control.schedule(this::start, gathering.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private long nowNanos() {
    return clocks.monotonic().read();
  }

  private void noteRegained() {
    if (failing) {
      failing = false;
      mirror.regained(nowNanos());
      log.event("dependency_regained").with("dependency", "store").with("table", table).write();
    }
  }

  private void retryLater(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof StoreFailure lost && lost.kind() == StoreFailure.Kind.HISTORY_LOST) {
      mirrored = false;
      log.event("history_lost").with("table", table).with("version", version).write();
      start();
      return;
    }
    if (!failing) {
      failing = true;
      log.event("dependency_lost")
          .with("dependency", "store")
          .with("table", table)
          .with("reason", String.valueOf(cause.getMessage()))
          .write();
    }
    control.schedule(this::start, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
  }
}
