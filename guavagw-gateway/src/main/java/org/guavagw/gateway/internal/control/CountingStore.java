package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.RowVersion;
import org.guavagw.gateway.spi.StoreFailure;

/**
 * Counts the calls to a store by table, cause and result. Confined to the control thread.
 *
 * <p>Invariant: each call is counted once, when its result is known.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class CountingStore implements ControlStore {
  private final ControlStore store;
  private final StoreCallListener listener;
  private final Map<String, TableCalls> callsByTable = new HashMap<>();

  /** Creates a store that passes all calls on to another one. */
  public CountingStore(ControlStore store, StoreCallListener listener) {
    this.store = store;
    this.listener = listener;
  }

  @Override
  public CompletableFuture<RowBatch> readAll(String table) {
    StoreCallCause cause = calls(table).causeOfRead();
    return countRead(table, cause, store.readAll(table));
  }

  @Override
  public CompletableFuture<RowBatch> changesSince(String table, long version, Duration wait) {
    StoreCallCause cause = calls(table).causeOfPoll(wait);
    return countRead(table, cause, store.changesSince(table, version, wait));
  }

  @Override
  public CompletableFuture<Long> putIf(
      RowVersion expected, byte[] value, List<RowVersion> unchanged) {
    CompletableFuture<Long> written = store.putIf(expected, value, unchanged);
    written.whenComplete(
        (era, failure) ->
            listener.onCall(
                expected.table(), StoreCallCause.WRITE, failure == null ? "done" : name(failure)));
    return written;
  }

  private CompletableFuture<RowBatch> countRead(
      String table, StoreCallCause cause, CompletableFuture<RowBatch> answer) {
    answer.whenComplete(
        (batch, failure) -> {
          calls(table).lastFailed = failure != null && !isHistoryLost(failure);
          listener.onCall(table, cause, failure == null ? contentOf(batch) : name(failure));
        });
    return answer;
  }

  private TableCalls calls(String table) {
    return callsByTable.computeIfAbsent(table, t -> new TableCalls());
  }

  private static String contentOf(RowBatch batch) {
    return batch.rows().isEmpty() ? "empty" : "rows";
  }

  private static boolean isHistoryLost(Throwable failure) {
    return causeOf(failure) instanceof StoreFailure lost
        && lost.kind() == StoreFailure.Kind.HISTORY_LOST;
  }

  private static String name(Throwable failure) {
    return causeOf(failure) instanceof StoreFailure failed
        ? failed.kind().name().toLowerCase(Locale.ROOT)
        : "failed";
  }

  private static Throwable causeOf(Throwable failure) {
    return failure instanceof CompletionException ? failure.getCause() : failure;
  }

  @Override
  public void close() {
    store.close();
  }

  /** What is known of the calls for one table. Confined to the control thread. */
  private static final class TableCalls {
    private boolean read;
    private boolean lastFailed;

    StoreCallCause causeOfRead() {
      if (lastFailed) {
        return StoreCallCause.RETRY;
      }
      StoreCallCause cause = read ? StoreCallCause.RELOAD : StoreCallCause.START;
      read = true;
      return cause;
    }

    StoreCallCause causeOfPoll(Duration wait) {
      if (lastFailed) {
        return StoreCallCause.RETRY;
      }
      return wait.compareTo(TablePoller.IMMEDIATE_POLL_TIMEOUT) <= 0
          ? StoreCallCause.CATCH_UP
          : StoreCallCause.POLL;
    }
  }
}
