package org.guavagw.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * The accepting end of a connection. Confined to the channel's event loop.
 *
 * <p>Invariant: nothing is dispatched before the other end has proved that it knows the secret.
 */
final class InboundHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private static final int SILENT_INTERVALS = 3;

  private final PeerHandshake handshake;
  private final PeerDispatcher dispatcher;
  private final PeerTraffic traffic;
  private final InboundChannels channels;
  private PeerFrame challenge;
  private PeerIdentity peer;
  private int silentIntervals;

  InboundHandler(
      PeerHandshake handshake,
      PeerDispatcher dispatcher,
      PeerTraffic traffic,
      InboundChannels channels) {
    this.handshake = handshake;
    this.dispatcher = dispatcher;
    this.traffic = traffic;
    this.channels = channels;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    challenge = handshake.challenge();
    ChannelActions.write(ctx, challenge);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    silentIntervals = 0;
    if (peer == null) {
      admit(ctx, frame);
      return;
    }
    switch (frame.kind()) {
      case PING -> ChannelActions.write(ctx, PeerFrame.pong());
      case MESSAGE -> dispatcher.dispatchMessage(peer, frame);
      case REQUEST -> dispatcher.dispatchRequest(peer, frame, f -> ChannelActions.write(ctx, f));
      default -> traffic.event("unexpected-frame");
    }
  }

  private void admit(ChannelHandlerContext ctx, PeerFrame frame) {
    if (!handshake.accepts(frame, PeerFrame.Kind.HELLO, challenge.body())) {
      traffic.event("refused-hello");
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
    silentIntervals++;
    if (silentIntervals >= SILENT_INTERVALS) {
      ChannelActions.close(ctx);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    traffic.event("broken-connection");
    ChannelActions.close(ctx);
  }
}
