package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.memory.HeldBytesLimit;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.RelayFormat;

/**
 * Pools connections to backend servers.
 *
 * <p>Confined to the traffic thread. Invariants: a connection carries one request at a time; a
 * connection on which anything unexpected happens is closed and not reused; a connection belongs to
 * one incarnation of a backend server.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class BackendConnectionPool implements AutoCloseable {
  /**
   * Many round trips, but short enough to use another server before a lost packet is retransmitted.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** The value that turns the transport's own timeout off. */
  private static final int NO_TIMEOUT = 0;

  /** Shorter than the idle timeout of most backend servers. */
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(4);

  private static final HttpDecoderConfig DECODER_CONFIG =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(8192)
          .setMaxHeaderSize(65_536)
          .setMaxChunkSize(65_536);

  private final Bootstrap bootstrap;
  private final EventLoop eventLoop;
  private final RelayFormat format;
  private final PendingReadBarrier readBarrier;
  private final ConnectListener connectListener;
  private final boolean answersNamed;
  private final HeldBytesLimit incompleteHeads;
  private final Ticker ticker;
  private final Map<String, ServerConnections> connectionsByIncarnation = new HashMap<>();

  /**
   * Creates an empty pool.
   *
   * @param connectListener is notified of the outcome of every connection before anybody else, and
   *     of what is received
   * @param answersNamed whether all answers name their requests; those of other entries don't
   * @param incompleteHeads the limit on what connections hold of heads
   */
  BackendConnectionPool(
      Transport transport,
      RelayFormat format,
      PendingReadBarrier readBarrier,
      ConnectListener connectListener,
      boolean answersNamed,
      HeldBytesLimit incompleteHeads,
      Ticker ticker) {
    this.format = format;
    this.answersNamed = answersNamed;
    this.incompleteHeads = incompleteHeads;
    this.readBarrier = readBarrier;
    this.connectListener = connectListener;
    this.ticker = ticker;
    this.bootstrap =
        transport.clientBootstrap().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_TIMEOUT);
    this.eventLoop = transport.group().next();
  }

  /** Sends a request. The listener receives the outcome, possibly before this method returns. */
  Attempt send(
      BackendServer server, int maxConnections, OutgoingRequest request, AttemptListener listener) {
    ServerConnections connections =
        connectionsByIncarnation.computeIfAbsent(
            server.incarnation(), i -> new ServerConnections());
    BackendConnection idle =
        request.requiresNewConnection() ? null : connections.takeIdle(request.id());
    if (idle != null) {
      return idle.send(request, listener);
    }
    if (connections.openCount >= maxConnections && !connections.closeOneIdle()) {
      listener.onFailed(AttemptFailure.NO_CONNECTION);
      return NoAttempt.INSTANCE;
    }
    return connect(server, connections, request, listener);
  }

  /**
   * Opens a connection, reports whether it was established within the connect timeout, and keeps it
   * as an idle one.
   */
  void checkReachable(BackendServer server, Consumer<Boolean> result) {
    ServerConnections connections =
        connectionsByIncarnation.computeIfAbsent(
            server.incarnation(), i -> new ServerConnections());
    BackendConnection connection = newConnection(server, connections);
    connections.openCount++;
    open(server, connection)
        .addListener(
            f -> {
              if (f.isSuccess()) {
                connection.addToIdle();
              } else {
                connections.openCount--;
              }
              result.accept(f.isSuccess());
            });
  }

  private BackendConnection newConnection(BackendServer server, ServerConnections connections) {
    return new BackendConnection(
        format,
        answersNamed,
        connections,
        () -> connectListener.onReceived(server),
        incompleteHeads);
  }

  private Attempt connect(
      BackendServer server,
      ServerConnections connections,
      OutgoingRequest request,
      AttemptListener listener) {
    BackendConnection connection = newConnection(server, connections);
    connections.openCount++;
    ChannelFuture connecting = open(server, connection);
    request.body().retain();
    PendingAttempt pending = new PendingAttempt(connecting);
    connecting.addListener(
        f -> {
          if (!f.isSuccess()) {
            connections.openCount--;
            pending.onConnectFailed(listener);
            request.body().release();
            return;
          }
          readBarrier.run(() -> sendOn(connection, pending, request, listener));
        });
    return pending;
  }

  private static void sendOn(
      BackendConnection connection,
      PendingAttempt pending,
      OutgoingRequest request,
      AttemptListener listener) {
    try {
      if (pending.cancelled()) {
        connection.close();
      } else if (!connection.isUsable()) {
        // The backend server closed the connection while the request waited for the barrier.
        connection.close();
        listener.onFailed(AttemptFailure.UNREACHABLE);
      } else if (request.stillWanted().getAsBoolean()) {
        pending.onSent(connection.send(request, listener));
      } else {
        connection.addToIdle();
        listener.onFailed(AttemptFailure.WITHDRAWN);
      }
    } finally {
      request.body().release();
    }
  }

  private ChannelFuture open(BackendServer server, BackendConnection connection) {
    long begunNanos = ticker.read();
    ChannelFuture connecting = connectTo(server, connection);
    ConnectTimeout timeout =
        ConnectTimeout.start(connecting, CONNECT_TIMEOUT, eventLoop, readBarrier);
    return connecting.addListener(
        f -> {
          if (f.isSuccess()) {
            connectListener.onConnected(server);
          } else if (timeout.hasPassed()) {
            connectListener.onConnectTimedOut(server, begunNanos);
          } else if (!f.isCancelled()) {
            connectListener.onConnectFailed(server, begunNanos);
          }
        });
  }

  private ChannelFuture connectTo(BackendServer server, BackendConnection connection) {
    return bootstrap
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(connection.openDecoder(DECODER_CONFIG))
                    .addLast(new HttpRequestEncoder())
                    .addLast(connection);
              }
            })
        .connect(server.address());
  }

  /** Closes the idle connections to a backend server that has dropped one of them. */
  void closeIdle(BackendServer server) {
    ServerConnections connections = connectionsByIncarnation.get(server.incarnation());
    if (connections != null) {
      connections.closeIdle();
    }
  }

  /** Closes idle connections to incarnations that no longer exist. */
  void retain(Set<String> incarnations) {
    List<String> removed = new ArrayList<>();
    connectionsByIncarnation.forEach(
        (incarnation, connections) -> {
          if (!incarnations.contains(incarnation)) {
            connections.closeIdle();
            if (connections.openCount == 0) {
              removed.add(incarnation);
            }
          }
        });
    removed.forEach(connectionsByIncarnation::remove);
  }

  @Override
  public void close() {
    connectionsByIncarnation.values().forEach(ServerConnections::closeIdle);
  }

  /** Connections to one incarnation of a backend server. Traffic thread only. */
  static final class ServerConnections {
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private int openCount;

    /**
     * Returns an idle connection that may carry a request; those that have carried it before are
     * closed, as another copy of their answer could not be told from the next one.
     */
    private BackendConnection takeIdle(String requestId) {
      for (BackendConnection candidate = idle.pollFirst();
          candidate != null;
          candidate = idle.pollFirst()) {
        if (candidate.isUsable() && !candidate.hasCarried(requestId)) {
          return candidate;
        }
        candidate.close();
      }
      return null;
    }

    private boolean closeOneIdle() {
      BackendConnection oldest = idle.pollLast();
      if (oldest == null) {
        return false;
      }
      oldest.close();
      return true;
    }

    private void closeIdle() {
      List<BackendConnection> all = List.copyOf(idle);
      idle.clear();
      all.forEach(BackendConnection::close);
    }

    void putIdle(BackendConnection connection, Duration idleLimit) {
      idle.addFirst(connection);
      Duration effectiveLimit = idleLimit.compareTo(MAX_IDLE_TIME) < 0 ? idleLimit : MAX_IDLE_TIME;
      connection.closeIfIdleAfter(effectiveLimit.toMillis(), TimeUnit.MILLISECONDS);
    }

    void onClosed(BackendConnection connection) {
      idle.remove(connection);
      openCount--;
    }
  }

  /** An attempt whose connection is being opened. */
  private static final class PendingAttempt implements Attempt {
    private final ChannelFuture connecting;
    private Attempt sentAttempt;
    private boolean cancelled;
    private boolean reading = true;

    PendingAttempt(ChannelFuture connecting) {
      this.connecting = connecting;
    }

    boolean cancelled() {
      return cancelled;
    }

    void onSent(Attempt attempt) {
      sentAttempt = attempt;
      if (cancelled) {
        attempt.cancel();
      } else if (!reading) {
        attempt.setReading(false);
      }
    }

    void onConnectFailed(AttemptListener listener) {
      if (!cancelled) {
        listener.onFailed(AttemptFailure.UNREACHABLE);
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (sentAttempt != null) {
        sentAttempt.cancel();
      } else {
        connecting.cancel(false);
        connecting.channel().close();
      }
    }

    @Override
    public void setReading(boolean enabled) {
      reading = enabled;
      if (sentAttempt != null) {
        sentAttempt.setReading(enabled);
      }
    }
  }

  /** Placeholder for an attempt that was not sent. */
  private enum NoAttempt implements Attempt {
    INSTANCE;

    @Override
    public void cancel() {
      // nothing was sent
    }

    @Override
    public void setReading(boolean reading) {
      // nothing is read
    }
  }
}
