package org.guavagw.gateway.internal.scheduling;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.logging.EventLog;

/**
 * Runs tasks of an executor at fixed rates. Thread-safe.
 *
 * <p>Invariant: a task that fails runs again at its next time; an executor drops one that throws.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class PeriodicTasks {
  private final ScheduledExecutorService executor;
  private final EventLog log;

  /** Creates an instance without tasks. */
  public PeriodicTasks(ScheduledExecutorService executor, EventLog log) {
    this.executor = executor;
    this.log = log;
  }

  /** Runs a task after each period. */
  public void runEvery(Duration period, Runnable task) {
    long millis = period.toMillis();
    executor.scheduleAtFixedRate(() -> run(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  private void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.event("periodic_task_failed").with("reason", String.valueOf(e)).write();
    }
  }
}
