package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoreFailure;
import org.guavagw.internal.time.Clocks;

/**
 * Follows one table at the store: reads it whole, then waits for changes, and reads it whole again
 * where history was lost. Confined to the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class TablePoller {
  /** Pause after a failed call: short against the bounds on configuration, long against a call. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

  /** Longest pause after failed calls; a store that is away is not asked more often than needed. */
  private static final Duration MAX_RETRY_PAUSE = Duration.ofMillis(500);

  /** Failures in a row after which the pause is the longest. */
  private static final int QUICK_RETRIES = 2;

  /** Pause where another table's calls find out when the store returns, which ends it early. */
  private static final Duration PAUSE_LEFT_TO_PROBE = Duration.ofSeconds(4);

  /** Allowance for clocks and timers when an empty answer proves how long the store has waited. */
  private static final Duration WAIT_SLACK = Duration.ofMillis(50);

  /** Wait of a call that is to be answered at once. */
  private static final Duration NO_WAIT = Duration.ofMillis(1);

  private final TableReplica replica;
  private final PollTiming pace;
  private final ControlStore store;
  private final StoreHealth health;
  private final StoreListener listener;
  private final ScheduledExecutorService control;
  private final Clocks clocks;
  private final EventLog log;
  private boolean historyLost;
  private boolean running;
  private boolean catchingUp;
  private int failures;
  private long run;

  TablePoller(
      TableReplica replica,
      PollTiming pace,
      ControlStore store,
      StoreHealth health,
      StoreListener listener,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log) {
    this.replica = replica;
    this.pace = pace;
    this.store = store;
    this.health = health;
    this.listener = listener;
    this.control = control;
    this.clocks = clocks;
    this.log = log;
  }

  /** Begins to follow the table from what is known of it; does nothing if that is under way. */
  void start() {
    if (!running) {
      running = true;
      run++;
      catchingUp = true;
      failures = 0;
      call();
    }
  }

  /** Stops; answers that come later are ignored. */
  void stop() {
    running = false;
    run++;
    if (health.onSuccess(replica.table())) {
      listener.onStoreRegained();
    }
  }

  /** Asks at once where a failed call was to be repeated later. */
  void retryNow() {
    if (running && failures > 0) {
      run++;
      call();
    }
  }

  /** Asks at once what has changed rather than waiting for an answer that may take longer. */
  void refresh() {
    if (running && failures == 0) {
      run++;
      catchingUp = true;
      call();
    }
  }

  private void call() {
    ClockReading sent = ClockReading.now(clocks);
    long current = run;
    if (replica.filled() && !historyLost) {
      Duration patience = catchingUp ? NO_WAIT : pace.patience();
      store
          .changesSince(replica.table(), replica.version(), patience)
          .whenComplete(
              (batch, failure) -> {
                if (current == run) {
                  onChanges(sent, patience, batch, failure);
                }
              });
    } else {
      store
          .readAll(replica.table())
          .whenComplete(
              (batch, failure) -> {
                if (current == run) {
                  onWholeTable(sent, batch, failure);
                }
              });
    }
  }

  private void callAfter(Duration pause) {
    if (pause.isZero()) {
      call();
      return;
    }
    long current = run;
    control.schedule(
        () -> {
          if (current == run) {
            call();
          }
        },
        pause.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void onWholeTable(ClockReading sent, RowBatch batch, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    historyLost = false;
    onSuccess();
    replica.replace(batch, sent, nowNanos());
    listener.onReplicaChanged();
    call();
  }

  private void onChanges(ClockReading sent, Duration patience, RowBatch batch, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onSuccess();
    boolean empty = batch.rows().isEmpty();
    replica.apply(batch, empty ? sent.plus(waited(sent, patience)) : sent, nowNanos());
    listener.onReplicaChanged();
    callAfter(empty ? Duration.ZERO : pace.gathering());
  }

  /** How long after the sending of a call its empty answer proves that nothing had changed. */
  private Duration waited(ClockReading sent, Duration patience) {
    Duration elapsed = Duration.ofNanos(nowNanos() - sent.nanos());
    Duration proved = patience.minus(WAIT_SLACK);
    Duration shorter = elapsed.compareTo(proved) < 0 ? elapsed : proved;
    return shorter.isNegative() ? Duration.ZERO : shorter;
  }

  private long nowNanos() {
    return clocks.monotonic().read();
  }

  private void onSuccess() {
    failures = 0;
    catchingUp = false;
    if (health.onSuccess(replica.table())) {
      log.event("dependency_regained")
          .with("dependency", "store")
          .with("table", replica.table())
          .write();
      listener.onStoreRegained();
    }
  }

  private void onFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof StoreFailure lost && lost.kind() == StoreFailure.Kind.HISTORY_LOST) {
      historyLost = true;
      log.event("history_lost")
          .with("table", replica.table())
          .with("version", replica.version())
          .write();
      call();
      return;
    }
    if (health.onFailure(replica.table())) {
      log.event("dependency_lost")
          .with("dependency", "store")
          .with("table", replica.table())
          .with("reason", String.valueOf(cause.getMessage()))
          .write();
      listener.onStoreLost();
    }
    failures++;
    catchingUp = true;
    callAfter(retryPause());
  }

  private Duration retryPause() {
    if (health.leftToProbe(replica.table())) {
      return PAUSE_LEFT_TO_PROBE;
    }
    return failures > QUICK_RETRIES ? MAX_RETRY_PAUSE : RETRY_PAUSE;
  }
}
