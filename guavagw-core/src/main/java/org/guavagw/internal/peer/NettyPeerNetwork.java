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
 * <p>Invariant: this entry sends its messages and requests on connections that it opened, and
 * answers on those that it accepted, so that a broken direction shows at the end that uses it.
 * Thread-safe.
 */
public final class NettyPeerNetwork implements PeerNetwork {
  private final PeerIdentity self;
  private final PeerSettings settings;
  private final PeerAddresses addresses;
  private final PeerCodec codec = new PeerCodec();
  private final PeerTraffic traffic;
  private final PeerDispatcher dispatcher;
  private final PeerHandshake handshake;
  private final InboundChannels inbound = new InboundChannels();
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong();
  private final Closer closer = new Closer();
  private final EventLoopGroup group;
  private final Channel server;
  private volatile boolean closed;

  /** Starts to listen. */
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
    this.traffic = new PeerTraffic(metrics);
    this.dispatcher = new PeerDispatcher(registry, codec, traffic, executor);
    this.handshake = new PeerHandshake(self, settings.secret());
    this.group =
        new NioEventLoopGroup(1, new DefaultThreadFactory("peer-" + self.memberId(), true));
    closer.register(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
    closer.register(() -> links.values().forEach(l -> l.close(PeerFailure.CLOSED)));
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
            new PeerPipeline(
                settings,
                codec,
                traffic,
                () -> new InboundHandler(handshake, dispatcher, traffic, inbound)))
        .bind(settings.bindHost(), settings.bindPort())
        .syncUninterruptibly()
        .channel();
  }

  /** The port on which this entry listens. */
  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  @Override
  public PeerIdentity self() {
    return self;
  }

  @Override
  public Either<PeerFailure, Void> send(String memberId, PeerMessage message) {
    PeerFrame frame = dispatcher.frame(PeerFrame.Kind.MESSAGE, 0, message);
    Optional<PeerFailure> refused = refusalOf(frame);
    return refused
        .or(() -> link(memberId).send(frame))
        .<Either<PeerFailure, Void>>map(Either::left)
        .orElseGet(() -> Either.right(null));
  }

  @Override
  public CompletableFuture<PeerMessage> request(
      String memberId, PeerMessage message, Duration timeout) {
    PeerFrame frame = dispatcher.frame(PeerFrame.Kind.REQUEST, nextId.incrementAndGet(), message);
    Optional<PeerFailure> refused = refusalOf(frame);
    if (refused.isPresent()) {
      return CompletableFuture.failedFuture(new PeerException(refused.get()));
    }
    CompletableFuture<PeerFrame> answer = link(memberId).request(frame);
    var unused =
        group.next().schedule(() -> expire(answer), timeout.toMillis(), TimeUnit.MILLISECONDS);
    return answer.thenApply(this::answerOf);
  }

  private Optional<PeerFailure> refusalOf(PeerFrame frame) {
    if (closed) {
      return Optional.of(PeerFailure.CLOSED);
    }
    boolean tooLarge = frame.body().length > settings.maxFrameBytes() / 2;
    return tooLarge ? Optional.of(PeerFailure.TOO_LARGE) : Optional.empty();
  }

  private static void expire(CompletableFuture<PeerFrame> answer) {
    answer.completeExceptionally(new PeerException(PeerFailure.TIMEOUT));
  }

  private PeerMessage answerOf(PeerFrame frame) {
    if (frame.kind() == PeerFrame.Kind.REFUSAL) {
      throw new PeerException(PeerFailure.NOT_HANDLED);
    }
    return dispatcher.message(frame).orElseThrow(() -> new PeerException(PeerFailure.NOT_HANDLED));
  }

  private PeerLink link(String memberId) {
    return links.computeIfAbsent(memberId, this::newLink);
  }

  private PeerLink newLink(String memberId) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis());
    PeerLink link =
        new PeerLink(memberId, addresses, traffic, settings, bootstrap, Ticker.systemTicker());
    bootstrap.handler(new PeerPipeline(settings, codec, traffic, () -> outboundHandler(link)));
    return link;
  }

  private OutboundHandler outboundHandler(PeerLink link) {
    return new OutboundHandler(link, handshake, traffic, () -> disconnect(link.memberId()));
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
    PeerLink link = links.get(memberId);
    if (link != null) {
      link.close(PeerFailure.CONNECTION_LOST);
    }
  }

  @Override
  public void close() {
    closed = true;
    closer.close();
  }
}
