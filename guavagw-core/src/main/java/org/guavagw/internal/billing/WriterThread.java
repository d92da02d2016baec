package org.guavagw.internal.billing;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.guavagw.internal.rows.WriteRateLimiter;

/**
 * Runs a write step repeatedly on its own thread, as often as the rate limiter allows. Thread-safe;
 * can be started and stopped once.
 */
final class WriterThread {
  private static final long IDLE_WAIT_MS = 1_000;
  private static final long FAILED_WRITE_WAIT_MS = 250;

  private final Semaphore work = new Semaphore(0);
  private final Supplier<WriteResult> step;
  private final WriteRateLimiter rateLimiter;
  private volatile boolean stopped;
  private Thread thread;

  WriterThread(Supplier<WriteResult> step, WriteRateLimiter rateLimiter) {
    this.step = step;
    this.rateLimiter = rateLimiter;
  }

  synchronized void start() {
    thread = new Thread(this::runUntilStopped, "bill-writer");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns whether the thread was started and not stopped. */
  synchronized boolean isRunning() {
    return thread != null && !stopped;
  }

  /** Ends an idle wait because there is new work. */
  void wake() {
    if (work.availablePermits() == 0) {
      work.release();
    }
  }

  /** Stops the thread and waits for the current step to end. */
  void stop() {
    stopped = true;
    wake();
    Thread running = running();
    if (running == null) {
      return;
    }
    try {
      running.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Thread running() {
    return thread;
  }

  private void runUntilStopped() {
    while (!stopped) {
      try {
        waitAfter(step.get());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void waitAfter(WriteResult result) throws InterruptedException {
    switch (result) {
      case IDLE -> awaitWork();
      case FAILED -> TimeUnit.MILLISECONDS.sleep(FAILED_WRITE_WAIT_MS);
      default -> TimeUnit.NANOSECONDS.sleep(rateLimiter.nanosUntilNext());
    }
  }

  private void awaitWork() throws InterruptedException {
    boolean woken = work.tryAcquire(IDLE_WAIT_MS, TimeUnit.MILLISECONDS);
    if (woken) {
      work.drainPermits();
    }
  }
}
