package org.guavagw.standins.service;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Router;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.guavagw.standins.fault.FaultInjector;
import org.guavagw.standins.history.CallTag;
import org.guavagw.standins.http.Connections;
import org.guavagw.standins.http.JsonResponses;
import org.guavagw.standins.http.LoopbackServer;
import org.guavagw.standins.http.NettyChannels;

/**
 * A simulated plain service on a loopback port. It executes and records every call with any method
 * and path, without deduplication, and echoes the request. Thread-safe.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class PlainServiceStandIn implements AutoCloseable {
  private static final int UNAVAILABLE = 503;
  private static final int INTERNAL_ERROR = 500;

  private final String name;
  private final ServiceCallLog log;
  private final FaultInjector<ServiceFault> faults = new FaultInjector<>();
  private final Connections connections = new Connections();
  private final LoopbackServer server;
  private volatile Duration delay = Duration.ZERO;

  /** Starts a service that records its calls in a log. */
  public PlainServiceStandIn(String name, ServiceCallLog log) {
    this.name = name;
    this.log = log;
    this.server = new LoopbackServer(ExecutionMode.EVENT_LOOP, 1, this::routes);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  /** Returns the faults, which can be set. */
  public FaultInjector<ServiceFault> faults() {
    return faults;
  }

  /** Delays each answer after the execution of its call. */
  public void slow(Duration by) {
    delay = by;
  }

  /** Permanently stops all output on the open connections; new connections work. */
  public void silenceOpenConnections() {
    connections.silence();
  }

  /** Closes the listener and all connections. */
  public void crash() {
    connections.reset();
    server.stop();
  }

  /** Starts listening again on the same port. */
  public void restart() {
    server.start();
  }

  @Override
  public void close() {
    server.close();
  }

  private void routes(Jooby app) {
    Router.METHODS.forEach(m -> app.route(m, "/*", this::serve));
  }

  private Context serve(Context ctx) {
    Channel channel = NettyChannels.of(ctx);
    if (connections.isSilent(channel)) {
      return ctx;
    }
    connections.add(channel);
    Optional<ServiceFault> fault = faults.take();
    if (fault.filter(ServiceFault.REFUSE::equals).isPresent()) {
      ctx.setResponseHeader("X-Not-Run", "true");
      return JsonResponses.send(ctx, UNAVAILABLE, echo(ctx));
    }
    if (fault.filter(ServiceFault.RESET_BEFORE_RUN::equals).isPresent()) {
      NettyChannels.reset(channel);
      return ctx;
    }
    execute(ctx);
    answerLater(ctx, channel, fault);
    return ctx;
  }

  private void execute(Context ctx) {
    log.add(
        new ServiceCall(
            name,
            ctx.getMethod(),
            ctx.getRequestPath(),
            ctx.header("X-Request-Id").toOptional(),
            ctx.header("Idempotency-Key").toOptional(),
            CallTag.find(text(ctx)),
            Instant.now()));
  }

  private void answerLater(Context ctx, Channel channel, Optional<ServiceFault> fault) {
    EchoResponse response = echo(ctx);
    channel
        .eventLoop()
        .schedule(
            () -> answer(ctx, channel, response, fault), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void answer(
      Context ctx, Channel channel, EchoResponse response, Optional<ServiceFault> fault) {
    if (fault.filter(ServiceFault.SILENCE_AFTER_RUN::equals).isPresent()) {
      connections.silence(channel);
    }
    if (connections.isSilent(channel)) {
      return;
    }
    if (fault.filter(ServiceFault.RESET_AFTER_RUN::equals).isPresent()) {
      NettyChannels.reset(channel);
      return;
    }
    boolean failed = fault.filter(ServiceFault.FAIL_AFTER_RUN::equals).isPresent();
    JsonResponses.send(ctx, failed ? INTERNAL_ERROR : 200, response);
  }

  private EchoResponse echo(Context ctx) {
    return new EchoResponse(
        name, ctx.getMethod(), ctx.getRequestPath(), ctx.headerMap(), text(ctx));
  }

  private static String text(Context ctx) {
    return new String(ctx.body().bytes(), StandardCharsets.UTF_8);
  }
}
