package org.guavagw.gateway.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
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
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.RelayFormat;

/**
 * Connections to backend servers.
 *
 * <p>Confined to the traffic thread. Invariants: a connection carries one request at a time; one
 * that saw anything unexpected is closed and never used again; connections belong to one
 * incarnation.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class BackendPool implements AutoCloseable {
  /** Many times a round trip; another server is tried sooner than a lost packet is sent again. */
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** Idle connections are closed before most backend servers would do so. */
  private static final Duration MAX_IDLE = Duration.ofSeconds(4);

  private static final HttpDecoderConfig DECODING =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(8192)
          .setMaxHeaderSize(65_536)
          .setMaxChunkSize(65_536);

  private final Bootstrap bootstrap;
  private final RelayFormat format;
  private final Map<String, Peer> peers = new HashMap<>();

  BackendPool(Transport transport, RelayFormat format) {
    this.format = format;
    this.bootstrap =
        transport
            .clientBootstrap()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
  }

  /** Sends a request; the listener hears the outcome, possibly before this returns. */
  Attempt send(
      BackendServer server, int maxConnections, OutgoingRequest request, AttemptListener listener) {
    Peer peer = peers.computeIfAbsent(server.incarnation(), i -> new Peer());
    BackendConnection idle = request.fresh() ? null : peer.takeIdle();
    if (idle != null) {
      return idle.send(request, listener);
    }
    if (peer.open >= maxConnections && !peer.closeOneIdle()) {
      listener.onFailed(AttemptFailure.NO_CONNECTION);
      return NoAttempt.INSTANCE;
    }
    return connect(server, peer, request, listener);
  }

  /** Opens a connection, tells whether that went well within the time to connect, and keeps it. */
  void checkPath(BackendServer server, Consumer<Boolean> result) {
    Peer peer = peers.computeIfAbsent(server.incarnation(), i -> new Peer());
    BackendConnection connection = new BackendConnection(format, peer);
    peer.open++;
    open(server, connection)
        .addListener(
            f -> {
              if (f.isSuccess()) {
                connection.keep();
              } else {
                peer.open--;
              }
              result.accept(f.isSuccess());
            });
  }

  private Attempt connect(
      BackendServer server, Peer peer, OutgoingRequest request, AttemptListener listener) {
    BackendConnection connection = new BackendConnection(format, peer);
    peer.open++;
    ChannelFuture connecting = open(server, connection);
    request.body().retain();
    PendingAttempt pending = new PendingAttempt(connecting);
    connecting.addListener(
        f -> {
          try {
            if (!f.isSuccess()) {
              peer.open--;
              pending.failed(listener);
            } else if (pending.cancelled()) {
              connecting.channel().close();
            } else {
              pending.started(connection.send(request, listener));
            }
          } finally {
            request.body().release();
          }
        });
    return pending;
  }

  private ChannelFuture open(BackendServer server, BackendConnection connection) {
    return bootstrap
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpClientCodec(DECODING, false, false))
                    .addLast(connection);
              }
            })
        .connect(server.address());
  }

  /** Closes what is idle at incarnations that are gone. */
  void retain(Set<String> incarnations) {
    List<String> gone = new ArrayList<>();
    peers.forEach(
        (incarnation, peer) -> {
          if (!incarnations.contains(incarnation)) {
            peer.closeIdle();
            if (peer.open == 0) {
              gone.add(incarnation);
            }
          }
        });
    gone.forEach(peers::remove);
  }

  @Override
  public void close() {
    peers.values().forEach(Peer::closeIdle);
  }

  /** Connections to one incarnation of a backend server. Traffic thread only. */
  static final class Peer {
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private int open;

    private BackendConnection takeIdle() {
      for (BackendConnection next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
        if (next.usable()) {
          return next;
        }
        next.close();
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
      Duration limit = idleLimit.compareTo(MAX_IDLE) < 0 ? idleLimit : MAX_IDLE;
      connection.closeIfIdleAfter(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    void closed(BackendConnection connection) {
      idle.remove(connection);
      open--;
    }
  }

  /** An attempt whose connection is being opened. */
  private static final class PendingAttempt implements Attempt {
    private final ChannelFuture connecting;
    private Attempt started;
    private boolean cancelled;
    private boolean reading = true;

    PendingAttempt(ChannelFuture connecting) {
      this.connecting = connecting;
    }

    boolean cancelled() {
      return cancelled;
    }

    void started(Attempt attempt) {
      started = attempt;
      if (cancelled) {
        attempt.cancel();
      } else if (!reading) {
        attempt.setReading(false);
      }
    }

    void failed(AttemptListener listener) {
      if (!cancelled) {
        listener.onFailed(AttemptFailure.UNREACHABLE);
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (started != null) {
        started.cancel();
      } else {
        connecting.cancel(false);
        connecting.channel().close();
      }
    }

    @Override
    public void setReading(boolean read) {
      reading = read;
      if (started != null) {
        started.setReading(read);
      }
    }
  }

  /** Stands for an attempt that was never sent. */
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
