package org.guavagw.standins.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.netty.channel.Channel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.guavagw.config.VersionRef;
import org.guavagw.platform.AnswerSample;
import org.guavagw.platform.Platform;
import org.guavagw.platform.Vm;
import org.guavagw.standins.fault.FaultInjector;
import org.guavagw.standins.http.Connections;
import org.guavagw.standins.http.LoopbackServer;
import org.guavagw.standins.http.NettyChannels;

/**
 * The platform's services on one loopback port: tables with the DynamoDB JSON protocol, objects
 * with the S3 REST protocol, and VM list, ratings and downloads as JSON. A failed call is answered
 * with status 400 if it had no effect and with 500 otherwise. Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {
  private static final int THREADS = 8;
  private static final int REFUSED = 400;
  private static final int INTERNAL_ERROR = 500;
  private static final String BUCKET = "/objects";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Platform platform;
  private final DynamoEndpoint tables;
  private final S3Endpoint objects;
  private final FaultInjector<HttpFault> faults = new FaultInjector<>();
  private final Connections connections = new Connections();
  private final LoopbackServer server;

  /** Starts a server for the given services. */
  public PlatformStandIn(Platform platform) {
    this.platform = platform;
    this.tables = new DynamoEndpoint(platform.table());
    this.objects = new S3Endpoint(platform.objects());
    this.server = new LoopbackServer(ExecutionMode.WORKER, THREADS, this::routes);
  }

  /** Returns the faults of all services, which can be set. */
  public FaultInjector<HttpFault> faults() {
    return faults;
  }

  /** Returns the endpoint of the table service. */
  public URI tableService() {
    return uri("/");
  }

  /** Returns the bucket of the object store. */
  public URI objectStore() {
    return uri(BUCKET);
  }

  /** Returns the address of the VM list. */
  public URI vmList() {
    return uri("/vms");
  }

  /** Returns the endpoint of the rating service. */
  public URI ratingService() {
    return uri("/ratings");
  }

  /** Returns the endpoint of the weight store. */
  public URI weightStore() {
    return uri("/downloads");
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

  private URI uri(String path) {
    return URI.create("http://127.0.0.1:" + server.port() + path);
  }

  private void routes(Jooby app) {
    app.post(
        "/",
        ctx -> serve(ctx, () -> tables.serve(ctx.header("X-Amz-Target").value(""), body(ctx))));
    app.get(BUCKET, ctx -> serve(ctx, () -> list(ctx)));
    app.get(BUCKET + "/*", ctx -> serve(ctx, () -> objects.get(objectName(ctx))));
    app.put(BUCKET + "/*", ctx -> serve(ctx, () -> objects.put(objectName(ctx), body(ctx))));
    app.get("/vms", ctx -> serve(ctx, this::vms));
    app.post("/ratings", ctx -> serve(ctx, () -> rate(json(ctx))));
    app.post("/downloads", ctx -> serve(ctx, () -> reserve(json(ctx))));
  }

  private Context serve(Context ctx, Supplier<StandInResponse> work) {
    Channel channel = NettyChannels.of(ctx);
    if (connections.isSilent(channel)) {
      return ctx;
    }
    connections.add(channel);
    Optional<HttpFault> fault = faults.take();
    if (fault.filter(HttpFault::beforeEffect).isPresent()) {
      return applyFault(ctx, channel, fault.get(), StandInResponse.empty(REFUSED));
    }
    StandInResponse response = work.get();
    return fault.isPresent()
        ? applyFault(ctx, channel, fault.get(), response)
        : send(ctx, response);
  }

  private Context applyFault(
      Context ctx, Channel channel, HttpFault fault, StandInResponse response) {
    switch (fault) {
      case REFUSE -> send(ctx, response);
      case FAIL_AFTER_EFFECT -> send(ctx, StandInResponse.empty(INTERNAL_ERROR));
      case GARBAGE_AFTER_EFFECT -> send(ctx, StandInResponse.text(200, response.type(), "{\"Item"));
      case RESET_BEFORE_EFFECT, RESET_AFTER_EFFECT -> NettyChannels.reset(channel);
      default -> connections.silence(channel);
    }
    return ctx;
  }

  private static Context send(Context ctx, StandInResponse response) {
    ctx.setResponseCode(response.status()).setResponseType(response.type()).send(response.body());
    NettyChannels.of(ctx).flush();
    return ctx;
  }

  private StandInResponse list(Context ctx) {
    return objects.list(ctx.query("prefix").value(""), ctx.query("continuation-token").value(""));
  }

  private StandInResponse vms() {
    return platform
        .vms()
        .vms()
        .fold(FailureResponses::toResponse, v -> StandInResponse.json(200, new VmsBody(v)));
  }

  private StandInResponse rate(JsonNode body) {
    AnswerSample sample =
        new AnswerSample(
            body.path("requestId").asText(),
            body.path("taskClass").asText(),
            VersionRef.parse(body.path("version").asText()),
            body.path("question").asText(),
            body.path("answer").asText());
    return platform
        .ratings()
        .rate(sample)
        .fold(FailureResponses::toResponse, r -> StandInResponse.json(200, new RatingBody(r)));
  }

  private StandInResponse reserve(JsonNode body) {
    VersionRef version = VersionRef.parse(body.path("version").asText());
    return platform
        .weights()
        .reserveDownload(version, body.path("backendServer").asText())
        .fold(FailureResponses::toResponse, r -> StandInResponse.empty(200));
  }

  private static String objectName(Context ctx) {
    return ctx.path("*").value();
  }

  private static byte[] body(Context ctx) {
    return ctx.body().bytes();
  }

  private static JsonNode json(Context ctx) {
    try {
      return JSON.readTree(body(ctx));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The VM list. */
  private record VmsBody(List<Vm> vms) {}

  /** A rating. */
  private record RatingBody(double rating) {}
}
