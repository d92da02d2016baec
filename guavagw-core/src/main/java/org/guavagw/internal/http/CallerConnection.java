package org.guavagw.internal.http;

import io.jooby.Context;
import io.jooby.Sender;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Writes a streamed answer to a caller with bounded buffering.
 *
 * <p>Invariant: at most {@value #MAX_PENDING_WRITES} writes are pending. A caller that does not
 * read for {@link #SLOW_CALLER_TIMEOUT} counts as disconnected. Writes come from one thread;
 * completions run on the network thread.
 */
final class CallerConnection {
  private static final int MAX_PENDING_WRITES = 256;
  private static final Duration SLOW_CALLER_TIMEOUT = Duration.ofSeconds(20);

  private final Sender sender;
  private final Semaphore pending = new Semaphore(MAX_PENDING_WRITES);
  private volatile boolean disconnected;

  CallerConnection(Context context) {
    this.sender = context.responseSender();
  }

  boolean isDisconnected() {
    return disconnected;
  }

  void write(byte[] bytes) {
    if (disconnected || !acquire()) {
      disconnected = true;
      return;
    }
    sender.write(bytes, (context, failure) -> onWritten(failure));
  }

  /** Ends the answer after the pending writes. */
  void close() {
    sender.close();
  }

  private void onWritten(Throwable failure) {
    if (failure != null) {
      disconnected = true;
    }
    pending.release();
  }

  private boolean acquire() {
    try {
      return pending.tryAcquire(SLOW_CALLER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
