package org.guavagw.gateway.internal.relay;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs a task once nothing has happened for some time. Confined to its executor. */
final class IdleTimer {
  private final EventExecutor executor;
  private final Runnable onIdle;
  private ScheduledFuture<?> scheduled;

  IdleTimer(EventExecutor executor, Runnable onIdle) {
    this.executor = executor;
    this.onIdle = onIdle;
  }

  /** Starts anew. */
  void start(long millis) {
    stop();
    scheduled = executor.schedule(onIdle, millis, TimeUnit.MILLISECONDS);
  }

  /** Returns whether the time is over, and it has neither been stopped nor started anew. */
  boolean hasExpired() {
    return scheduled != null && scheduled.isDone();
  }

  void stop() {
    if (scheduled != null) {
      scheduled.cancel(false);
      scheduled = null;
    }
  }
}
