package org.guavagw.gateway.internal.relay;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection that does not come about in time.
 *
 * <p>Invariant: a connection that came about while the event loop was busy is not closed, as the
 * loop looks at its sockets once more after the time has passed. Traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ConnectTimeout {
  private final ChannelFuture connecting;
  private boolean hasPassed;

  private ConnectTimeout(ChannelFuture connecting) {
    this.connecting = connecting;
  }

  /** Starts the timeout of a connection that is being opened. */
  static ConnectTimeout start(
      ChannelFuture connecting, Duration limit, EventLoop eventLoop, PendingReadBarrier barrier) {
    ConnectTimeout timeout = new ConnectTimeout(connecting);
    ScheduledFuture<?> timer =
        eventLoop.schedule(
            () -> barrier.runAfterReads(onTime -> timeout.onPassed()),
            limit.toMillis(),
            TimeUnit.MILLISECONDS);
    connecting.addListener(f -> timer.cancel(false));
    return timeout;
  }

  private void onPassed() {
    if (!connecting.isDone()) {
      hasPassed = true;
      connecting.channel().close();
    }
  }

  /** Returns whether the connection failed because its time has passed. */
  boolean hasPassed() {
    return hasPassed;
  }
}
