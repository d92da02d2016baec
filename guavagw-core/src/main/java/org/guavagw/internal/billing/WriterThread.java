package org.guavagw.internal.billing;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.guavagw.internal.rows.WritePacer;

/**
 * Repeats a write step on a thread of its own, at the pace that the step's pacer allows.
 * Thread-safe; starts and stops once.
 */
final class WriterThread {
  private static final long IDLE_WAIT_MS = 1_000;
  private static final long FAILED_WRITE_WAIT_MS = 250;

  private final Semaphore work = new Semaphore(0);
  private final Supplier<WriteStep> step;
  private final WritePacer pacer;
  private volatile boolean stopped;
  private Thread thread;

  WriterThread(Supplier<WriteStep> step, WritePacer pacer) {
    this.step = step;
    this.pacer = pacer;
  }

  synchronized void start() {
    thread = new Thread(this::stepUntilStopped, "bill-writer");
    thread.setDaemon(true);
    thread.start();
  }

  /** Whether steps are being made. */
  synchronized boolean isRunning() {
    return thread != null && !stopped;
  }

  /** Ends an idle wait because there is work again. */
  void wake() {
    if (work.availablePermits() == 0) {
      work.release();
    }
  }

  /** Waits for the step under way and makes no more. */
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

  private void stepUntilStopped() {
    while (!stopped) {
      try {
        waitAfter(step.get());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void waitAfter(WriteStep done) throws InterruptedException {
    switch (done) {
      case IDLE -> awaitWork();
      case FAILED -> TimeUnit.MILLISECONDS.sleep(FAILED_WRITE_WAIT_MS);
      default -> TimeUnit.NANOSECONDS.sleep(pacer.nanosUntilNext());
    }
  }

  private void awaitWork() throws InterruptedException {
    boolean woken = work.tryAcquire(IDLE_WAIT_MS, TimeUnit.MILLISECONDS);
    if (woken) {
      work.drainPermits();
    }
  }
}
