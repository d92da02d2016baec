package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Delays work of an event loop that lags until the loop has read what its sockets hold.
 *
 * <p>A request and the end of its connection may wait in the same socket; work that is done before
 * the latter is read would be done for a caller that has left; and a connection that has a request
 * in its socket is not idle. Traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class PendingReadBarrier {
  /** Callers leave after longer times than this, so work at a smaller lag need not wait. */
  private static final Duration MAX_LAG = Duration.ofMillis(50);

  /** Time that the event loop gets to read its sockets. */
  private static final Duration READ_TIME = Duration.ofMillis(10);

  /** What comes later than this before a task that runs once all has been read may be unread. */
  private static final Duration MAX_UNREAD_TIME = Duration.ofMillis(100);

  private final EventLoop eventLoop;
  private final EventLoopLag lag;
  private final Ticker ticker;

  PendingReadBarrier(EventLoop eventLoop, EventLoopLag lag, Ticker ticker) {
    this.eventLoop = eventLoop;
    this.lag = lag;
    this.ticker = ticker;
  }

  /** Runs a task at once, or after the next reads of the event loop if it lags. */
  void run(Runnable task) {
    if (lag.recent(ticker.read()).compareTo(MAX_LAG) <= 0) {
      task.run();
      return;
    }
    // The first task may still run in the current round of the loop; what it schedules runs in a
    // later one, and each round reads before it runs tasks.
    eventLoop.execute(() -> eventLoop.schedule(task, 1, TimeUnit.MILLISECONDS));
  }

  /** Runs a task once all has been read that came more than {@link #MAX_UNREAD_TIME} before. */
  void runWhenRead(Runnable task) {
    runAfterReads(
        onTime -> {
          if (onTime) {
            task.run();
          } else {
            runWhenRead(task);
          }
        });
  }

  /** Runs a task after the next reads of the event loop, which may be late. */
  void runAfterReads(AfterReads task) {
    long begunNanos = ticker.read();
    // What is scheduled here runs in a later round of the loop, and each round reads first.
    eventLoop.schedule(
        () -> task.run(ticker.read() - begunNanos <= MAX_UNREAD_TIME.toNanos()),
        READ_TIME.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Something that is done after reads. */
  @FunctionalInterface
  interface AfterReads {
    /**
     * Runs after reads.
     *
     * @param onTime whether all has been read that came more than {@link #MAX_UNREAD_TIME} before
     */
    void run(boolean onTime);
  }
}
