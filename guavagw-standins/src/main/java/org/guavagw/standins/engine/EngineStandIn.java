package org.guavagw.standins.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Ticker;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.netty.channel.Channel;
import java.io.IOException;
import org.guavagw.standins.http.Connections;
import org.guavagw.standins.http.JsonResponses;
import org.guavagw.standins.http.LoopbackServer;
import org.guavagw.standins.http.NettyChannels;

/**
 * A simulated model engine with the OpenAI-compatible chat completion protocol on a loopback port,
 * with load reports, cache events, orders and injected faults.
 *
 * <p>Thread-safe. All requests run on a few event loop threads.
 */
public final class EngineStandIn implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Engine engine;
  private final CacheEventLog cacheEvents;
  private final OrderHandler orders;
  private final LoopbackServer server;

  /** Starts an engine that records its executions in a log. */
  public EngineStandIn(EngineSettings settings, ExecutionLog log, QualityModel quality) {
    Ticker ticker = Ticker.systemTicker();
    this.cacheEvents = new CacheEventLog(settings.prefixCache(), ticker);
    this.engine =
        new Engine(
            settings,
            new EngineFaults(),
            new ContinuousBatch(settings, ticker),
            new PrefixCache(settings.prefixCache().blocks(), cacheEvents),
            log,
            quality,
            new RequestRegistry(),
            new Connections());
    this.orders = new OrderHandler(engine.batch(), settings.checksFencing());
    this.server = new LoopbackServer(ExecutionMode.EVENT_LOOP, settings.ioThreads(), this::routes);
  }

  /** Starts an engine with a log of its own and with answers of quality 1. */
  public EngineStandIn(EngineSettings settings) {
    this(settings, new ExecutionLog(), QualityModel.constant(1));
  }

  /** Returns the port, which stays the same after a crash and a restart. */
  public int port() {
    return server.port();
  }

  /** Returns the log of executions. */
  public ExecutionLog log() {
    return engine.log();
  }

  /** Returns the faults, which can be set. */
  public EngineFaults faults() {
    return engine.faults();
  }

  /** Returns the handler of orders. */
  public OrderHandler orders() {
    return orders;
  }

  /** Returns the number of requests refused because all cold slots were taken. */
  public long coldOverloads() {
    return engine.batch().coldOverloads();
  }

  /** Returns the number of requests whose caller closed the connection before the end. */
  public long disconnects() {
    return engine.batch().disconnects();
  }

  /** Turns cold without notice: new boot id, empty prefix cache, no resumable requests. */
  public void turnCold() {
    engine.cache().clear();
    engine.requests().forgetResumable();
    engine.batch().turnCold();
  }

  /** Sets whether new requests are refused; running requests continue. */
  public void drain(boolean on) {
    engine.batch().setDraining(on);
  }

  /** Permanently stops all output on the open connections; new connections work. */
  public void silenceOpenConnections() {
    engine.connections().silence();
  }

  /** Resets all open connections. */
  public void resetOpenConnections() {
    engine.connections().reset();
  }

  /** Closes the listener and all connections; running requests fail. */
  public void crash() {
    engine.requests().failAll();
    resetOpenConnections();
    server.stop();
  }

  /** Starts again on the same port, cold. */
  public void restart() {
    turnCold();
    engine.batch().restart();
    server.start();
  }

  @Override
  public void close() {
    server.close();
  }

  private void routes(Jooby app) {
    app.post("/v1/chat/completions", this::complete);
    app.delete("/v1/requests/{id}", this::cancel);
    app.get("/load", ctx -> JsonResponses.send(ctx, 200, engine.batch().laggedReport()));
    app.get("/cache-events", this::cacheEvents);
    app.post("/orders", this::order);
  }

  private Context complete(Context ctx) {
    Channel channel = NettyChannels.of(ctx);
    if (engine.connections().isSilent(channel)) {
      return ctx;
    }
    engine.connections().add(channel);
    GenerationRequest request;
    try {
      request = GenerationRequest.read(ctx);
    } catch (IllegalArgumentException e) {
      ctx.setResponseHeader("X-Not-Run", "true");
      return JsonResponses.send(ctx, 400, ErrorBody.of("invalid_request"));
    }
    return new Generation(engine, request, ctx).submit();
  }

  private Context cancel(Context ctx) {
    var active = engine.requests().active(ctx.path("id").value());
    active.ifPresent(Generation::cancel);
    return ctx.setResponseCode(active.isPresent() ? 202 : 404).send("");
  }

  private Context cacheEvents(Context ctx) {
    long after = ctx.query("after").longValue(0);
    return JsonResponses.send(ctx, 200, cacheEvents.after(after));
  }

  private Context order(Context ctx) throws IOException {
    Order order;
    try {
      order = Order.read(JSON.readTree(ctx.body().bytes()));
    } catch (IllegalArgumentException e) {
      return JsonResponses.send(ctx, 400, ErrorBody.of("invalid_order"));
    }
    if (!orders.tryExecute(order)) {
      return JsonResponses.send(ctx, 409, ErrorBody.of("old_fencing"));
    }
    return JsonResponses.send(ctx, 200, order);
  }
}
