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
 * A model engine in miniature that speaks the OpenAI-compatible chat completion protocol on a
 * loopback port, with load reports, cache events, orders and scripted faults.
 *
 * <p>Thread-safe. All work runs on a few event loop threads; no thread belongs to one stream.
 */
public final class EngineStandIn implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Engine engine;
  private final CacheEventLog cacheEvents;
  private final OrderHandler orders;
  private final LoopbackServer server;

  /** Starts an engine. */
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

  /** Starts an engine with its own log and answers of a fixed quality. */
  public EngineStandIn(EngineSettings settings) {
    this(settings, new ExecutionLog(), QualityModel.constant(1));
  }

  /** The port, which stays the same when the engine dies and is revived. */
  public int port() {
    return server.port();
  }

  /** What ran here. */
  public ExecutionLog log() {
    return engine.log();
  }

  /** Faults that can be set. */
  public EngineFaults faults() {
    return engine.faults();
  }

  /** Accepted orders, in order of arrival. */
  public OrderHandler orders() {
    return orders;
  }

  /** Requests that came while all cold slots were taken. */
  public long coldOverloads() {
    return engine.batch().coldOverloads();
  }

  /** Requests whose caller closed the connection before their end. */
  public long disconnects() {
    return engine.batch().disconnects();
  }

  /** Turns cold without warning: a new boot id, an empty prefix cache, nothing to resume. */
  public void turnCold() {
    engine.cache().clear();
    engine.requests().forgetResumable();
    engine.batch().turnCold();
  }

  /** Refuses new requests; those that run go on. */
  public void drain(boolean on) {
    engine.batch().drain(on);
  }

  /** Silences all open connections for good, while new ones work. */
  public void silenceOpenConnections() {
    engine.connections().silence();
  }

  /** Resets all open connections. */
  public void resetOpenConnections() {
    engine.connections().reset();
  }

  /** Closes the listener and all connections; requests under way fail. */
  public void crash() {
    engine.requests().failAll();
    resetOpenConnections();
    server.stop();
  }

  /** Starts again, cold, on the same port. */
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
    app.get("/load", ctx -> JsonResponses.send(ctx, 200, engine.batch().shown()));
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
