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
import org.guavagw.internal.pipeline.Answered;
import org.guavagw.internal.pipeline.CallerTerms;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Pipeline;
import org.guavagw.internal.pipeline.Work;
import org.guavagw.internal.time.Clocks;

/**
 * The API for callers: chat completions, the list of models, and health for the balancer.
 *
 * <p>Requests run on worker threads, one thread a request. Thread-safe.
 */
public final class CallerApi {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ObjectMapper json;
  private final ChatRequestParser parser;
  private final CallerRequests requests;
  private final RequestIds ids;
  private final Clocks clocks;
  private final InFlightRequests inFlight;
  private final Pipeline chat;

  /** Creates the API in front of a pipeline. */
  public CallerApi(
      ObjectMapper json, RequestIds ids, Clocks clocks, InFlightRequests inFlight, Pipeline chat) {
    this.json = json;
    this.parser = new ChatRequestParser(json);
    this.requests = new CallerRequests(clocks.monotonic());
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
      return refuse(context, requestId, Refusals.shuttingDown());
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
    CallerTerms terms = requests.termsOf(context);
    DecisionTrace trace = new DecisionTrace(requestId, clocks.wall().instant());
    if (!request.stream()) {
      WholeAnswer whole = new WholeAnswer(json, context, clocks.wall());
      return finish(
          context, requestId, run(requestId, new Work.Chat(request, whole), terms, trace));
    }
    StreamedAnswer streamed = new StreamedAnswer(json, context, request.includeUsage());
    Either<Refusal, Answered> result =
        run(requestId, new Work.Chat(request, streamed), terms, trace);
    if (result.isLeft() && streamed.hasBegun()) {
      streamed.fail(result.getLeft(), requestId);
      return context;
    }
    return finish(context, requestId, result);
  }

  private Either<Refusal, Answered> run(
      String requestId, Work work, CallerTerms terms, DecisionTrace trace) {
    return chat.run(Exchange.arrived(requestId, work, terms, trace));
  }

  private Object finish(Context context, String requestId, Either<Refusal, Answered> result) {
    return result.isLeft() ? refuse(context, requestId, result.getLeft()) : context;
  }

  private Object refuse(Context context, String requestId, Refusal refusal) {
    return Refusals.send(json, context, refusal, requestId);
  }

  private void sendUnexpected(Context context, Throwable cause, int status) {
    String requestId =
        Optional.ofNullable(context.getResponseHeader(Headers.REQUEST_ID)).orElseGet(ids::next);
    if (context.isResponseStarted()) {
      logger.atWarning().withCause(cause).log("request %s failed while answering", requestId);
      return;
    }
    Refusals.send(json, context, UnexpectedErrors.toRefusal(cause, status), requestId);
  }
}
