package org.guavagw.gateway.internal.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.logging.EventLog;

/**
 * Runs tasks of an event loop at fixed rates. Thread-safe.
 *
 * <p>Invariant: a task that fails runs again at its next time; an event loop drops one that throws.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class PeriodicTasks {
  private final EventLoop eventLoop;
  private final EventLog log;

  PeriodicTasks(EventLoop eventLoop, EventLog log) {
    this.eventLoop = eventLoop;
    this.log = log;
  }

  /** Runs a task after each period. */
  void runEvery(Duration period, Runnable task) {
    long millis = period.toMillis();
    eventLoop.scheduleAtFixedRate(() -> run(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  private void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.event("periodic_task_failed").with("reason", String.valueOf(e)).write();
    }
  }
}
