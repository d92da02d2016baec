package org.guavagw.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.time.Duration;

/**
 * Handles a connection that this entry opened: proves the entry's identity, sends a ping when no
 * frame has arrived for a ping interval, and drops all connections to the peer when the ping goes
 * unanswered. Confined to the event loop.
 */
final class OutboundHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private static final Duration UNUSED_CONNECTION_TIMEOUT = Duration.ofSeconds(60);

  private final PeerConnection connection;
  private final PeerHandshake handshake;
  private final PeerMetrics peerMetrics;
  private final Runnable dropConnections;
  private byte[] nonce;
  private boolean handshakeDone;

  OutboundHandler(
      PeerConnection connection,
      PeerHandshake handshake,
      PeerMetrics peerMetrics,
      Runnable dropConnections) {
    this.connection = connection;
    this.handshake = handshake;
    this.peerMetrics = peerMetrics;
    this.dropConnections = dropConnections;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    switch (frame.kind()) {
      case CHALLENGE -> sendHello(ctx, frame);
      case WELCOME -> completeHandshake(ctx, frame);
      case ANSWER, REFUSAL -> connection.completeRequest(frame);
      case PONG -> peerMetrics.countEvent("probed");
      default -> peerMetrics.countEvent("unexpected-frame");
    }
  }

  private void sendHello(ChannelHandlerContext ctx, PeerFrame frame) {
    nonce = frame.body();
    ChannelActions.write(ctx, handshake.proof(PeerFrame.Kind.HELLO, nonce));
  }

  private void completeHandshake(ChannelHandlerContext ctx, PeerFrame frame) {
    boolean expected = frame.name().equals(connection.memberId());
    if (nonce == null
        || !expected
        || !handshake.isValidProof(frame, PeerFrame.Kind.WELCOME, nonce)) {
      peerMetrics.countEvent("refused-welcome");
      connection.close(PeerFailure.UNREACHABLE);
      return;
    }
    handshakeDone = true;
    connection.handshakeCompleted(ctx.channel());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof IdleStateEvent idle)) {
      return;
    }
    if (connection.closeIfUnused(ctx.channel(), UNUSED_CONNECTION_TIMEOUT)) {
      return;
    }
    if (!handshakeDone || !idle.isFirst()) {
      peerMetrics.countEvent("silent-connection");
      dropConnections.run();
      return;
    }
    ChannelActions.write(ctx, PeerFrame.ping());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    peerMetrics.countEvent("broken-connection");
    ChannelActions.close(ctx);
  }
}
