package org.guavagw.gateway.internal.relay;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

/**
 * Closes the connections of callers when this entry stops.
 *
 * <p>Invariant: a connection is closed only while it has no request, and once the event loop has
 * read what its socket holds. Thread-safe; the connections are used on the traffic thread only.
 */
final class ConnectionCloser {
  private final Set<CallerConnection> connections;
  private final Runnable stopAccepting;
  private final EventLoop eventLoop;
  private final PendingReadBarrier readBarrier;

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
      PendingReadBarrier readBarrier) {
    this.connections = connections;
    this.stopAccepting = stopAccepting;
    this.eventLoop = eventLoop;
    this.readBarrier = readBarrier;
  }

  /** Closes the connections that have no request; new ones are still accepted. */
  void closeIdle() {
    eventLoop.execute(
        () -> {
          List<CallerConnection> known = List.copyOf(connections);
          readBarrier.runWhenRead(() -> known.forEach(CallerConnection::closeIfIdle));
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
          readBarrier.runAfterReads(
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
    readBarrier.runAfterReads(
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
}
