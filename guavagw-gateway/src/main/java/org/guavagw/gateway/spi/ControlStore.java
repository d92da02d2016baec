package org.guavagw.gateway.spi;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of tables. Futures fail with {@link StoreFailure} and complete on the
 * control thread. Every answer, also a refusal, states the era of the store; the era rises when the
 * store is restored from a copy and loses its last writes.
 */
public interface ControlStore extends AutoCloseable {
  /** Reads a consistent snapshot of a table. */
  CompletableFuture<RowBatch> readAll(String table);

  /** Returns the rows that changed after a version; waits up to the given time for a change. */
  CompletableFuture<RowBatch> changesSince(String table, long version, Duration wait);

  /**
   * Writes a row if it still has the expected version and the other rows have theirs. Returns the
   * era of the store's answer.
   */
  CompletableFuture<Long> putIf(RowVersion expected, byte[] value, List<RowVersion> unchanged);

  @Override
  void close();
}
