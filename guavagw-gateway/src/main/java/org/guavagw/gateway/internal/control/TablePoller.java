package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoreFailure;
import org.guavagw.internal.time.Clocks;

/**
 * Keeps a replica up to date from the store: reads the whole table, then polls for changes, and
 * reads the whole table again if the store no longer has the history. Confined to the control
 * thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class TablePoller {
  /** Pause after an answer of an earlier era of the store. */
  private static final Duration STALE_ANSWER_PAUSE = Duration.ofMillis(250);

  /**
   * Tolerance for clocks and timers when an empty answer shows how long the store waited for
   * changes.
   */
  private static final Duration TIMER_TOLERANCE = Duration.ofMillis(50);

  /** Time in which a change reaches the call that waits for it; a few calls to the store. */
  private static final Duration CHANGE_DELIVERY_TIME = Duration.ofMillis(150);

  /** Poll timeout of a call that is to be answered at once. */
  static final Duration IMMEDIATE_POLL_TIMEOUT = Duration.ofMillis(1);

  private final TableReplica replica;
  private final PollTiming timing;
  private final ControlStore store;
  private final StoreHealth health;
  private final StoreEra era;
  private final StoreListener listener;
  private final ScheduledExecutorService control;
  private final Clocks clocks;
  private final EventLog log;
  private final RetryPauses pauses =
      new RetryPauses(() -> ThreadLocalRandom.current().nextDouble());
  private boolean historyLost;
  private boolean answerPending;
  private boolean versionCheckScheduled;
  private long sentNanos;
  private boolean awaitingFirstPoll;
  private boolean running;
  private boolean patient;
  private boolean succeeded;
  private boolean catchingUp;
  private int failures;
  private long generation;

  TablePoller(
      TableReplica replica,
      PollTiming timing,
      ControlStore store,
      StoreHealth health,
      StoreEra era,
      StoreListener listener,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log) {
    this.replica = replica;
    this.timing = timing;
    this.store = store;
    this.health = health;
    this.era = era;
    this.listener = listener;
    this.control = control;
    this.clocks = clocks;
    this.log = log;
  }

  /** Sets whether failed calls are retried rarely, as other entries detect the end of an outage. */
  void setPatient(boolean newPatient) {
    patient = newPatient;
  }

  /** Returns whether it is polling and its last call did not fail. */
  boolean isSucceeding() {
    return running && succeeded && failures == 0;
  }

  /** Starts polling from the version of the replica; does nothing if already started. */
  void start() {
    if (!running) {
      succeeded = false;
      running = true;
      generation++;
      catchingUp = true;
      failures = 0;
      call();
    }
  }

  /** Stops polling; answers that arrive later are ignored. */
  void stop() {
    running = false;
    generation++;
    if (health.onSuccess(replica.table())) {
      listener.onStoreRecovered();
    }
  }

  /** Retries at once if a retry is scheduled for later. */
  void retryNow() {
    if (running && failures > 0) {
      generation++;
      call();
    }
  }

  /** Asks for changes at once instead of waiting for the end of the current poll. */
  void refresh() {
    if (running && failures == 0) {
      generation++;
      catchingUp = true;
      call();
    }
  }

  /**
   * Asks for changes anew if the answer to a call from before a monotonic time is still pending, as
   * it may have been lost.
   */
  void refreshIfPendingSince(long nanos) {
    if (answerPending && sentNanos - nanos < 0) {
      refresh();
    }
  }

  /**
   * Takes note that the store has a version. A pending call that does not return the changes up to
   * it soon may have lost its answer, and they are asked for anew.
   */
  void onStoreVersion(long newest) {
    if (!running || !answerPending || versionCheckScheduled || newest <= replica.version()) {
      return;
    }
    versionCheckScheduled = true;
    long noticedNanos = nowNanos();
    control.schedule(
        () -> {
          versionCheckScheduled = false;
          if (newest > replica.version()) {
            refreshIfPendingSince(noticedNanos);
          }
        },
        CHANGE_DELIVERY_TIME.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Polls now if the first poll is scheduled for later. */
  void startPolls() {
    if (running && awaitingFirstPoll) {
      generation++;
      call();
    }
  }

  /** Reads the whole table anew, because the store was restored. */
  void reload() {
    if (running) {
      generation++;
      call();
    }
  }

  private void call() {
    ClockReading sentAt = ClockReading.now(clocks);
    long callGeneration = generation;
    awaitingFirstPoll = false;
    answerPending = true;
    sentNanos = sentAt.nanos();
    if (replica.isLoaded() && !historyLost && replica.era() == era.current()) {
      Duration timeout = catchingUp ? IMMEDIATE_POLL_TIMEOUT : timing.timeout();
      store
          .changesSince(replica.table(), replica.version(), timeout)
          .whenComplete(
              (batch, failure) -> {
                if (isExpected(callGeneration, batch, failure)) {
                  onChanges(sentAt, timeout, batch, failure);
                }
              });
    } else {
      store
          .readAll(replica.table())
          .whenComplete(
              (batch, failure) -> {
                if (isExpected(callGeneration, batch, failure)) {
                  onSnapshot(sentAt, batch, failure);
                }
              });
    }
  }

  /**
   * Takes note of the era of an answer and returns whether the answer is to be used. A rise of the
   * era reloads all tables, which ends this call.
   */
  private boolean isExpected(long callGeneration, RowBatch batch, Throwable failure) {
    OptionalLong answered = batch == null ? eraOf(failure) : OptionalLong.of(batch.era());
    boolean newest = answered.isEmpty() || era.observe(answered.getAsLong());
    if (callGeneration != generation) {
      return false;
    }
    answerPending = false;
    if (!newest) {
      log.event("stale_answer_ignored")
          .with("table", replica.table())
          .with("era", answered.getAsLong())
          .with("newest_era", era.current())
          .write();
      callAfter(STALE_ANSWER_PAUSE);
    }
    return newest;
  }

  private static OptionalLong eraOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof StoreFailure answered ? answered.era() : OptionalLong.empty();
  }

  private void callAfter(Duration pause) {
    if (pause.isZero()) {
      call();
      return;
    }
    long callGeneration = generation;
    control.schedule(
        () -> {
          if (callGeneration == generation) {
            call();
          }
        },
        pause.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void onSnapshot(ClockReading sentAt, RowBatch batch, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    boolean first = !replica.isLoaded();
    historyLost = false;
    onSuccess();
    replica.applySnapshot(batch, sentAt, nowNanos());
    listener.onReplicaChanged();
    Duration delay = first ? timing.firstPollDelay() : Duration.ZERO;
    awaitingFirstPoll = !delay.isZero();
    callAfter(delay);
  }

  private void onChanges(ClockReading sentAt, Duration timeout, RowBatch batch, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onSuccess();
    boolean empty = batch.rows().isEmpty();
    replica.applyChanges(
        batch, empty ? sentAt.plus(unchangedFor(sentAt, timeout)) : sentAt, nowNanos());
    listener.onReplicaChanged();
    callAfter(empty ? Duration.ZERO : timing.batchDelay());
  }

  /** Returns how long after a call was sent its empty answer proves that nothing had changed. */
  private Duration unchangedFor(ClockReading sentAt, Duration timeout) {
    Duration elapsed = Duration.ofNanos(nowNanos() - sentAt.nanos());
    Duration proven = timeout.minus(TIMER_TOLERANCE);
    Duration shorter = elapsed.compareTo(proven) < 0 ? elapsed : proven;
    return shorter.isNegative() ? Duration.ZERO : shorter;
  }

  private long nowNanos() {
    return clocks.monotonic().read();
  }

  private void onSuccess() {
    failures = 0;
    succeeded = true;
    catchingUp = false;
    if (health.onSuccess(replica.table())) {
      log.event("dependency_regained")
          .with("dependency", "store")
          .with("table", replica.table())
          .write();
      listener.onStoreRecovered();
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
    callAfter(pauses.after(failures, health.waitsForProbe(replica.table()), patient));
  }
}
