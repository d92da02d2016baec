package org.guavagw.platform.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.guavagw.platform.PlatformFailure;

/**
 * Sends blocking HTTP requests and reports whether a failed request may have taken effect:
 *
 * <ul>
 *   <li>no connection (refused, unreachable, unknown host, connect time-out): not applied;
 *   <li>any failure once the request may have left this process (reset, read or write time-out,
 *       truncated reply): unknown;
 *   <li>status 4xx: not applied; any other status that is not a success, such as 5xx: unknown.
 * </ul>
 *
 * <p>Requests are never retried. Thread-safe.
 */
public final class PlatformHttpClient {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final OkHttpClient client;
  private final ObjectMapper json =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  /** Sends through an OkHttp client, whose time-outs and interceptors are kept. */
  public PlatformHttpClient(OkHttpClient client) {
    this.client =
        client
            .newBuilder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .addNetworkInterceptor(SendTracker::markSent)
            .build();
  }

  /** Returns the reply, whatever its status. */
  Either<PlatformFailure, HttpReply> call(Request.Builder request) {
    SendTracker tracker = new SendTracker();
    Request tracked = request.tag(SendTracker.class, tracker).build();
    try (Response response = client.newCall(tracked).execute()) {
      return Either.right(new HttpReply(response.code(), response.body().bytes()));
    } catch (IOException e) {
      return Either.left(failure(tracker, e));
    }
  }

  /** Returns the reply if its status is a success. */
  Either<PlatformFailure, HttpReply> callForSuccess(Request.Builder request) {
    return call(request).flatMap(r -> r.successful() ? Either.right(r) : Either.left(refusal(r)));
  }

  /** Returns the body of a successful reply, parsed as JSON. */
  <T> Either<PlatformFailure, T> callForJson(Request.Builder request, Class<T> type) {
    return callForSuccess(request).flatMap(r -> read(r, type));
  }

  <T> Either<PlatformFailure, T> read(HttpReply reply, Class<T> type) {
    try {
      return Either.right(json.readValue(reply.body(), type));
    } catch (IOException e) {
      return Either.left(PlatformFailure.unknown("unreadable reply: " + e.getMessage()));
    }
  }

  RequestBody jsonBody(Object body) {
    return jsonBody(body, JSON_TYPE);
  }

  RequestBody jsonBody(Object body, MediaType type) {
    try {
      return RequestBody.create(json.writeValueAsBytes(body), type);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static PlatformFailure refusal(HttpReply reply) {
    String reason = "status " + reply.status();
    return reply.clientError()
        ? PlatformFailure.notApplied(reason)
        : PlatformFailure.unknown(reason);
  }

  private static PlatformFailure failure(SendTracker tracker, IOException e) {
    return tracker.sent()
        ? PlatformFailure.unknown(e.toString())
        : PlatformFailure.notApplied(e.toString());
  }
}
