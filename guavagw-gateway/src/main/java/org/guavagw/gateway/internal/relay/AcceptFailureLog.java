package org.guavagw.gateway.internal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.logging.EventLog;

/**
 * Logs that connections could not be accepted. The handler behind it pauses accepting for a second.
 * Confined to the event loop of its server.
 */
final class AcceptFailureLog extends ChannelInboundHandlerAdapter {
  private final Supplier<EventLog> log;

  AcceptFailureLog(Supplier<EventLog> log) {
    this.log = log;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    log.get().event("accept_failed").with("reason", String.valueOf(cause)).write();
    ctx.fireExceptionCaught(cause);
  }
}
