package org.guavagw.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Handles an accepted connection. Confined to the channel's event loop.
 *
 * <p>Invariant: no frame is dispatched before the peer has proved that it knows the secret.
 */
final class InboundHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private static final int MAX_IDLE_INTERVALS = 3;

  private final PeerHandshake handshake;
  private final PeerDispatcher dispatcher;
  private final PeerMetrics peerMetrics;
  private final InboundChannels channels;
  private PeerFrame challenge;
  private PeerIdentity peer;
  private int idleIntervals;

  InboundHandler(
      PeerHandshake handshake,
      PeerDispatcher dispatcher,
      PeerMetrics peerMetrics,
      InboundChannels channels) {
    this.handshake = handshake;
    this.dispatcher = dispatcher;
    this.peerMetrics = peerMetrics;
    this.channels = channels;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    challenge = handshake.newChallenge();
    ChannelActions.write(ctx, challenge);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    idleIntervals = 0;
    if (peer == null) {
      authenticate(ctx, frame);
      return;
    }
    switch (frame.kind()) {
      case PING -> ChannelActions.write(ctx, PeerFrame.pong());
      case MESSAGE -> dispatcher.dispatchMessage(peer, frame);
      case REQUEST -> dispatcher.dispatchRequest(peer, frame, f -> ChannelActions.write(ctx, f));
      default -> peerMetrics.countEvent("unexpected-frame");
    }
  }

  private void authenticate(ChannelHandlerContext ctx, PeerFrame frame) {
    if (!handshake.isValidProof(frame, PeerFrame.Kind.HELLO, challenge.body())) {
      peerMetrics.countEvent("refused-hello");
      ChannelActions.close(ctx);
      return;
    }
    peer = new PeerIdentity(frame.name(), frame.id());
    channels.add(peer.memberId(), ctx.channel());
    ChannelActions.write(ctx, handshake.proof(PeerFrame.Kind.WELCOME, challenge.body()));
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof IdleStateEvent)) {
      return;
    }
    idleIntervals++;
    if (idleIntervals >= MAX_IDLE_INTERVALS) {
      ChannelActions.close(ctx);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    peerMetrics.countEvent("broken-connection");
    ChannelActions.close(ctx);
  }
}
