package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.guavagw.Refusal;
import org.guavagw.internal.explain.DecisionTrace;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.internal.lifecycle.InFlightRequests;
import org.guavagw.internal.pipeline.CompletedAnswer;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Operation;
import org.guavagw.internal.pipeline.Pipeline;
import org.guavagw.internal.service.ServiceAnswer;
import org.guavagw.internal.service.ServiceCall;
import org.guavagw.internal.time.Clocks;

/** The HTTP API for calls to plain services; passes method, headers and body on. Thread-safe. */
public final class ServiceApi {
  private static final String PREFIX = "/services/";
  private static final List<String> METHODS = List.of("GET", "POST", "PUT", "PATCH", "DELETE");

  private final ObjectMapper json;
  private final RequestMetadataReader metadataReader;
  private final RequestIds ids;
  private final Clocks clocks;
  private final InFlightRequests inFlight;
  private final Pipeline pipeline;

  /** Creates the API in front of a pipeline. */
  public ServiceApi(
      ObjectMapper json,
      RequestIds ids,
      Clocks clocks,
      InFlightRequests inFlight,
      Pipeline pipeline) {
    this.json = json;
    this.metadataReader = new RequestMetadataReader(clocks.monotonic());
    this.ids = ids;
    this.clocks = clocks;
    this.inFlight = inFlight;
    this.pipeline = pipeline;
  }

  /** Adds the API's routes to an application. */
  public void install(Jooby app) {
    METHODS.forEach(m -> app.route(m, PREFIX + "{service}/*path", this::call));
  }

  private Object call(Context context) {
    String requestId = ids.next();
    if (!inFlight.tryBegin()) {
      return RefusalWriter.send(json, context, RefusalWriter.shuttingDown(), requestId);
    }
    try {
      return run(context, requestId);
    } finally {
      inFlight.end();
    }
  }

  private Object run(Context context, String requestId) {
    Operation operation =
        new Operation.Service(
            toCall(context), (id, server, answer) -> send(context, id, server, answer));
    DecisionTrace trace = new DecisionTrace(requestId, clocks.wall().instant());
    Either<Refusal, CompletedAnswer> result =
        pipeline.run(Exchange.of(requestId, operation, metadataReader.read(context), trace));
    return result.isLeft()
        ? RefusalWriter.send(json, context, result.getLeft(), requestId)
        : context;
  }

  private static ServiceCall toCall(Context context) {
    List<ServiceCall.Header> headers = new ArrayList<>();
    for (Map.Entry<String, List<String>> header : context.header().toMultimap().entrySet()) {
      header.getValue().forEach(v -> headers.add(new ServiceCall.Header(header.getKey(), v)));
    }
    String path = "/" + context.path("path").value("") + context.queryString();
    return new ServiceCall(
        context.path("service").value(),
        context.getMethod(),
        path,
        headers,
        context.body().bytes());
  }

  private static void send(Context context, String requestId, String server, ServiceAnswer answer) {
    context.setResponseCode(answer.status());
    answer.headers().forEach(h -> context.setResponseHeader(h.name(), h.value()));
    context.setResponseHeader(Headers.REQUEST_ID, requestId);
    context.setResponseHeader(Headers.BACKEND_SERVER, server);
    context.send(answer.body());
  }
}
