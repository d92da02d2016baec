package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Closes the connections of callers when this entry stops.
 *
 * <p>Invariant: a connection is closed only while it has no request, and once all has been read
 * that its socket received more than {@link #MAX_UNREAD_TIME} before. Thread-safe; the connections
 * are used on the traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ConnectionCloser {
  /** Time that the event loop gets to read its sockets. */
  private static final Duration READ_TIME = Duration.ofMillis(10);

  /** A request that comes later than this before its connection is closed may stay unread. */
  private static final Duration MAX_UNREAD_TIME = Duration.ofMillis(100);

  private final Set<CallerConnection> connections;
  private final Runnable stopAccepting;
  private final EventLoop eventLoop;
  private final Ticker ticker;

  /**
   * Creates a closer.
   *
   * @param connections the open connections
   * @param stopAccepting ends the acceptance of further ones
   */
  ConnectionCloser(
      Set<CallerConnection> connections,
      Runnable stopAccepting,
      EventLoop eventLoop,
      Ticker ticker) {
    this.connections = connections;
    this.stopAccepting = stopAccepting;
    this.eventLoop = eventLoop;
    this.ticker = ticker;
  }

  /** Closes the connections that have no request; new ones are still accepted. */
  void closeIdle() {
    eventLoop.execute(this::closeIdleOnTime);
  }

  private void closeIdleOnTime() {
    List<CallerConnection> known = List.copyOf(connections);
    afterReads(
        onTime -> {
          if (onTime) {
            known.forEach(CallerConnection::closeIfIdle);
          } else {
            closeIdleOnTime();
          }
        });
  }

  /**
   * Accepts no more connections, answers all requests that are being received or served, and closes
   * each connection once its requests have been answered.
   *
   * @return counts down when no connection is left
   */
  CountDownLatch closeAll() {
    CountDownLatch closed = new CountDownLatch(1);
    eventLoop.execute(
        () -> {
          endRequests();
          afterReads(
              onTime -> {
                stopAccepting.run();
                closeNext(closed);
              });
        });
    return closed;
  }

  private void closeNext(CountDownLatch closed) {
    endRequests();
    if (connections.isEmpty()) {
      closed.countDown();
      return;
    }
    List<CallerConnection> known = List.copyOf(connections);
    afterReads(
        onTime -> {
          if (onTime) {
            known.forEach(CallerConnection::closeIfIdle);
          }
          closeNext(closed);
        });
  }

  private void endRequests() {
    List.copyOf(connections).forEach(CallerConnection::endRequest);
  }

  /** Runs a task after the next reads, which is told whether nothing can have waited for long. */
  private void afterReads(ReadTask task) {
    long begunNanos = ticker.read();
    // What is scheduled here runs in a later round of the loop, and each round reads first.
    eventLoop.schedule(
        () -> task.run(ticker.read() - begunNanos <= MAX_UNREAD_TIME.toNanos()),
        READ_TIME.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Something that is done after reads. */
  @FunctionalInterface
  private interface ReadTask {
    /** Runs after reads that were on time or not. */
    void run(boolean onTime);
  }
}
