package org.guavagw.gateway.spi;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of tables. Futures fail with {@link StoreFailure} and complete on the
 * control thread.
 */
public interface ControlStore extends AutoCloseable {
  /** Reads a whole table as of one moment. */
  CompletableFuture<RowBatch> readAll(String table);

  /** Waits for rows that changed after a version, for at most the time given. */
  CompletableFuture<RowBatch> changesSince(String table, long version, Duration wait);

  /** Writes a row if it still has the expected version; 0 means that it must not exist. */
  CompletableFuture<Long> putIf(String table, String key, byte[] value, long expectedVersion);

  @Override
  void close();
}
