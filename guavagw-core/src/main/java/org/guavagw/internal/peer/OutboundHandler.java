package org.guavagw.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.time.Duration;

/**
 * The opening end of a connection: proves who this entry is, probes when nothing comes, and has the
 * connections to the peer replaced when nothing comes then either. Confined to the event loop.
 */
final class OutboundHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private static final Duration UNUSED_CONNECTION_TIMEOUT = Duration.ofSeconds(60);

  private final PeerLink link;
  private final PeerHandshake handshake;
  private final PeerTraffic traffic;
  private final Runnable replaceConnections;
  private byte[] nonce;
  private boolean welcomed;

  OutboundHandler(
      PeerLink link, PeerHandshake handshake, PeerTraffic traffic, Runnable replaceConnections) {
    this.link = link;
    this.handshake = handshake;
    this.traffic = traffic;
    this.replaceConnections = replaceConnections;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    switch (frame.kind()) {
      case CHALLENGE -> prove(ctx, frame);
      case WELCOME -> welcome(ctx, frame);
      case ANSWER, REFUSAL -> link.answered(frame);
      case PONG -> traffic.event("probed");
      default -> traffic.event("unexpected-frame");
    }
  }

  private void prove(ChannelHandlerContext ctx, PeerFrame frame) {
    nonce = frame.body();
    ChannelActions.write(ctx, handshake.proof(PeerFrame.Kind.HELLO, nonce));
  }

  private void welcome(ChannelHandlerContext ctx, PeerFrame frame) {
    boolean expected = frame.name().equals(link.memberId());
    if (nonce == null || !expected || !handshake.accepts(frame, PeerFrame.Kind.WELCOME, nonce)) {
      traffic.event("refused-welcome");
      link.close(PeerFailure.UNREACHABLE);
      return;
    }
    welcomed = true;
    link.open(ctx.channel());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof IdleStateEvent idle)) {
      return;
    }
    if (link.closeIfUnused(ctx.channel(), UNUSED_CONNECTION_TIMEOUT)) {
      return;
    }
    if (!welcomed || !idle.isFirst()) {
      traffic.event("silent-connection");
      replaceConnections.run();
      return;
    }
    ChannelActions.write(ctx, PeerFrame.ping());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    traffic.event("broken-connection");
    ChannelActions.close(ctx);
  }
}
