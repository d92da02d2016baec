package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.Jooby;
import io.vavr.control.Either;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.internal.chat.ChatRequest;
import org.guavagw.internal.chat.ChatRequestParser;
import org.guavagw.internal.explain.DecisionTrace;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.internal.lifecycle.InFlightRequests;
import org.guavagw.internal.pipeline.CompletedAnswer;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Operation;
import org.guavagw.internal.pipeline.Pipeline;
import org.guavagw.internal.pipeline.RequestMetadata;
import org.guavagw.internal.time.Clocks;

/**
 * The HTTP API for callers: chat completions.
 *
 * <p>Each request runs on a worker thread of its own. Thread-safe.
 */
public final class CallerApi {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ObjectMapper json;
  private final ChatRequestParser parser;
  private final RequestMetadataReader metadataReader;
  private final RequestIds ids;
  private final Clocks clocks;
  private final InFlightRequests inFlight;
  private final Pipeline chat;

  /** Creates the API in front of a pipeline. */
  public CallerApi(
      ObjectMapper json, RequestIds ids, Clocks clocks, InFlightRequests inFlight, Pipeline chat) {
    this.json = json;
    this.parser = new ChatRequestParser(json);
    this.metadataReader = new RequestMetadataReader(clocks.monotonic());
    this.ids = ids;
    this.clocks = clocks;
    this.inFlight = inFlight;
    this.chat = chat;
  }

  /** Adds the API's routes to an application. */
  public void install(Jooby app) {
    app.post("/v1/chat/completions", this::chatCompletion);
    app.error((context, cause, status) -> sendUnexpected(context, cause, status.value()));
  }

  private Object chatCompletion(Context context) {
    String requestId = ids.next();
    if (!inFlight.tryBegin()) {
      return refuse(context, requestId, RefusalWriter.shuttingDown());
    }
    try {
      Either<Refusal, ChatRequest> request = parser.parse(context.body().bytes());
      return request.isLeft()
          ? refuse(context, requestId, request.getLeft())
          : runChat(context, requestId, request.get());
    } finally {
      inFlight.end();
    }
  }

  private Object runChat(Context context, String requestId, ChatRequest request) {
    RequestMetadata metadata = metadataReader.read(context);
    DecisionTrace trace = new DecisionTrace(requestId, clocks.wall().instant());
    if (!request.stream()) {
      BufferedAnswerSink buffered = new BufferedAnswerSink(json, context, clocks.wall());
      return finish(
          context,
          requestId,
          run(requestId, new Operation.Chat(request, buffered), metadata, trace));
    }
    StreamedAnswerSink streamed = new StreamedAnswerSink(json, context, request.includeUsage());
    Either<Refusal, CompletedAnswer> result =
        run(requestId, new Operation.Chat(request, streamed), metadata, trace);
    if (result.isLeft() && streamed.hasBegun()) {
      streamed.fail(result.getLeft(), requestId);
      return context;
    }
    return finish(context, requestId, result);
  }

  private Either<Refusal, CompletedAnswer> run(
      String requestId, Operation operation, RequestMetadata metadata, DecisionTrace trace) {
    return chat.run(Exchange.of(requestId, operation, metadata, trace));
  }

  private Object finish(
      Context context, String requestId, Either<Refusal, CompletedAnswer> result) {
    return result.isLeft() ? refuse(context, requestId, result.getLeft()) : context;
  }

  private Object refuse(Context context, String requestId, Refusal refusal) {
    return RefusalWriter.send(json, context, refusal, requestId);
  }

  private void sendUnexpected(Context context, Throwable cause, int status) {
    String requestId =
        Optional.ofNullable(context.getResponseHeader(Headers.REQUEST_ID)).orElseGet(ids::next);
    if (context.isResponseStarted()) {
      logger.atWarning().withCause(cause).log("request %s failed while answering", requestId);
      return;
    }
    RefusalWriter.send(json, context, UnexpectedErrors.toRefusal(cause, status), requestId);
  }
}
