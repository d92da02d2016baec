package org.guavagw.internal.peer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.internal.lifecycle.Closer;

/**
 * Peer network over TCP with one event loop thread.
 *
 * <p>Invariant: this entry sends its messages and requests on connections that it opened, and its
 * answers on connections that it accepted, so that the sender notices when its direction fails.
 * Thread-safe.
 */
public final class NettyPeerNetwork implements PeerNetwork {
  private final PeerIdentity self;
  private final PeerSettings settings;
  private final PeerAddresses addresses;
  private final PeerCodec codec = new PeerCodec();
  private final PeerMetrics peerMetrics;
  private final PeerDispatcher dispatcher;
  private final PeerHandshake handshake;
  private final InboundChannels inbound = new InboundChannels();
  private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong();
  private final Closer closer = new Closer();
  private final EventLoopGroup group;
  private final Channel server;
  private volatile boolean closed;

  /** Creates the network and starts listening. */
  public NettyPeerNetwork(
      PeerIdentity self,
      PeerSettings settings,
      PeerAddresses addresses,
      PeerMessageRegistry registry,
      Executor executor,
      MetricRegistry metrics) {
    this.self = self;
    this.settings = settings;
    this.addresses = addresses;
    this.peerMetrics = new PeerMetrics(metrics);
    this.dispatcher = new PeerDispatcher(registry, codec, peerMetrics, executor);
    this.handshake = new PeerHandshake(self, settings.secret());
    this.group =
        new NioEventLoopGroup(1, new DefaultThreadFactory("peer-" + self.memberId(), true));
    closer.register(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
    closer.register(() -> connections.values().forEach(c -> c.close(PeerFailure.CLOSED)));
    closer.register(inbound::closeAll);
    this.server = listen();
    closer.register(() -> server.close().syncUninterruptibly());
  }

  private Channel listen() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new PeerChannelInitializer(
                settings,
                codec,
                peerMetrics,
                () -> new InboundHandler(handshake, dispatcher, peerMetrics, inbound)))
        .bind(settings.bindHost(), settings.bindPort())
        .syncUninterruptibly()
        .channel();
  }

  /** Returns the port on which this entry listens for peers. */
  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  @Override
  public PeerIdentity self() {
    return self;
  }

  @Override
  public Either<PeerFailure, Void> send(String memberId, PeerMessage message) {
    PeerFrame frame = dispatcher.toFrame(PeerFrame.Kind.MESSAGE, 0, message);
    Optional<PeerFailure> failure = checkSendable(frame);
    return failure
        .or(() -> connectionTo(memberId).send(frame))
        .<Either<PeerFailure, Void>>map(Either::left)
        .orElseGet(() -> Either.right(null));
  }

  @Override
  public CompletableFuture<PeerMessage> request(
      String memberId, PeerMessage message, Duration timeout) {
    PeerFrame frame = dispatcher.toFrame(PeerFrame.Kind.REQUEST, nextId.incrementAndGet(), message);
    Optional<PeerFailure> failure = checkSendable(frame);
    if (failure.isPresent()) {
      return CompletableFuture.failedFuture(new PeerException(failure.get()));
    }
    CompletableFuture<PeerFrame> answer = connectionTo(memberId).request(frame);
    var unused =
        group.next().schedule(() -> timeOut(answer), timeout.toMillis(), TimeUnit.MILLISECONDS);
    return answer.thenApply(this::readAnswer);
  }

  private Optional<PeerFailure> checkSendable(PeerFrame frame) {
    if (closed) {
      return Optional.of(PeerFailure.CLOSED);
    }
    boolean tooLarge = frame.body().length > settings.maxFrameBytes() / 2;
    return tooLarge ? Optional.of(PeerFailure.TOO_LARGE) : Optional.empty();
  }

  private static void timeOut(CompletableFuture<PeerFrame> answer) {
    answer.completeExceptionally(new PeerException(PeerFailure.TIMEOUT));
  }

  private PeerMessage readAnswer(PeerFrame frame) {
    if (frame.kind() == PeerFrame.Kind.REFUSAL) {
      throw new PeerException(PeerFailure.NOT_HANDLED);
    }
    return dispatcher
        .readMessage(frame)
        .orElseThrow(() -> new PeerException(PeerFailure.NOT_HANDLED));
  }

  private PeerConnection connectionTo(String memberId) {
    return connections.computeIfAbsent(memberId, this::newConnection);
  }

  private PeerConnection newConnection(String memberId) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis());
    PeerConnection connection =
        new PeerConnection(
            memberId, addresses, peerMetrics, settings, bootstrap, Ticker.systemTicker());
    bootstrap.handler(
        new PeerChannelInitializer(
            settings, codec, peerMetrics, () -> outboundHandler(connection)));
    return connection;
  }

  private OutboundHandler outboundHandler(PeerConnection connection) {
    return new OutboundHandler(
        connection, handshake, peerMetrics, () -> disconnect(connection.memberId()));
  }

  @Override
  public <M extends PeerMessage> void onMessage(Class<M> type, PeerMessageHandler<M> handler) {
    dispatcher.onMessage(type, handler);
  }

  @Override
  public <M extends PeerMessage> void onRequest(Class<M> type, PeerRequestHandler<M> handler) {
    dispatcher.onRequest(type, handler);
  }

  @Override
  public void disconnect(String memberId) {
    inbound.close(memberId);
    PeerConnection connection = connections.get(memberId);
    if (connection != null) {
      connection.close(PeerFailure.CONNECTION_LOST);
    }
  }

  @Override
  public void close() {
    closed = true;
    closer.close();
  }
}
