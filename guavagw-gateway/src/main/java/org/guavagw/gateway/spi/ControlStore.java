package org.guavagw.gateway.spi;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of tables. Futures fail with {@link StoreFailure} and complete on the
 * control thread.
 */
public interface ControlStore extends AutoCloseable {
  /** Reads a consistent snapshot of a table. */
  CompletableFuture<RowBatch> readAll(String table);

  /** Returns the rows that changed after a version; waits up to the given time for a change. */
  CompletableFuture<RowBatch> changesSince(String table, long version, Duration wait);

  /** Writes a row if it still has the expected version; 0 means that it must not exist yet. */
  CompletableFuture<Long> putIf(String table, String key, byte[] value, long expectedVersion);

  @Override
  void close();
}
