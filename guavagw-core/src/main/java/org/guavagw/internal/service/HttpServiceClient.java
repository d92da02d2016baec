package org.guavagw.internal.service;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.internal.http.HttpMethod;
import org.guavagw.internal.engine.BackendAddress;
import org.guavagw.internal.engine.ConnectionPools;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.EngineFailure.Kind;
import org.guavagw.internal.engine.TimeoutClassifier;

/**
 * Calls plain services over HTTP. Thread-safe.
 *
 * <p>A call that must not run twice uses a new connection, and is reported as not sent only if that
 * connection was not established.
 */
public final class HttpServiceClient implements ServiceClient {
  private static final String NOT_RUN_HEADER = "X-Not-Run";
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final int MAX_ANSWER_BYTES = 16 << 20;
  private static final Set<String> NOT_FORWARDED =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "content-length",
          "authorization");

  private final ConnectionPools pools;

  /** Creates a client over connection pools that the caller owns. */
  public HttpServiceClient(ConnectionPools pools) {
    this.pools = pools;
  }

  @Override
  public Either<EngineFailure, ServiceAnswer> call(
      BackendAddress address,
      String requestId,
      ServiceCall call,
      boolean repeatable,
      Duration timeLeft) {
    OkHttpClient client = repeatable ? pools.pooled(address) : pools.unpooled();
    Call http = client.newCall(toHttp(address, requestId, call));
    http.timeout().timeout(Math.max(1, timeLeft.toMillis()), TimeUnit.MILLISECONDS);
    try (Response response = http.execute()) {
      return read(response);
    } catch (ConnectException e) {
      return failed(Kind.NOT_SENT, e);
    } catch (SocketTimeoutException e) {
      pools.evict(address);
      return failed(TimeoutClassifier.isConnectTimeout(e) ? Kind.NOT_SENT : Kind.SILENT, e);
    } catch (IOException e) {
      return failed(http.isCanceled() ? Kind.TIMED_OUT : Kind.BROKEN, e);
    }
  }

  private static Request toHttp(BackendAddress address, String requestId, ServiceCall call) {
    Request.Builder builder = new Request.Builder().url(address.url(call.path()));
    call.headers().stream()
        .filter(h -> isForwarded(h.name()))
        .forEach(h -> builder.addHeader(h.name(), h.value()));
    builder.header(REQUEST_ID_HEADER, requestId);
    boolean hasBody = HttpMethod.permitsRequestBody(call.method());
    RequestBody body = hasBody ? RequestBody.create(call.body(), null) : null;
    return builder.method(call.method(), body).build();
  }

  private static Either<EngineFailure, ServiceAnswer> read(Response response) throws IOException {
    if (Boolean.parseBoolean(response.header(NOT_RUN_HEADER))) {
      return Either.left(
          new EngineFailure(Kind.REFUSED, "the service answered with status " + response.code()));
    }
    byte[] body = response.peekBody(MAX_ANSWER_BYTES + 1L).bytes();
    if (body.length > MAX_ANSWER_BYTES) {
      return Either.left(new EngineFailure(Kind.BROKEN, "the service's answer is too large"));
    }
    return Either.right(new ServiceAnswer(response.code(), headersOf(response.headers()), body));
  }

  private static List<ServiceCall.Header> headersOf(Headers headers) {
    List<ServiceCall.Header> kept = new ArrayList<>();
    for (int i = 0; i < headers.size(); i++) {
      if (isForwarded(headers.name(i))) {
        kept.add(new ServiceCall.Header(headers.name(i), headers.value(i)));
      }
    }
    return kept;
  }

  private static boolean isForwarded(String name) {
    return !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT));
  }

  private static <T> Either<EngineFailure, T> failed(Kind kind, IOException e) {
    return Either.left(new EngineFailure(kind, String.valueOf(e.getMessage())));
  }
}
