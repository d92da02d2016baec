package org.guavagw.internal.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Sends requests to model engines over HTTP, using their OpenAI-compatible protocol. Thread-safe.
 *
 * <p>A request is reported as not sent only if no connection was established, and as refused only
 * if the backend server states in its answer that it did not run the request.
 */
public final class HttpEngineClient implements EngineClient {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final String NOT_RUN_HEADER = "X-Not-Run";
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int BAD_REQUEST = 400;

  private final ObjectMapper json = new ObjectMapper();
  private final ConnectionPools pools;

  /** Creates a client over connection pools that the caller owns. */
  public HttpEngineClient(ConnectionPools pools) {
    this.pools = pools;
  }

  @Override
  public Either<EngineFailure, EngineStream> open(BackendAddress address, EngineRequest request) {
    OkHttpClient client = pools.pooled(address);
    Call call = client.newCall(toHttp(address, request));
    call.timeout().timeout(request.timeLeft().toMillis(), TimeUnit.MILLISECONDS);
    try {
      Response response = call.execute();
      return accept(address, request, call, response);
    } catch (ConnectException e) {
      return failed(EngineFailure.Kind.NOT_SENT, e);
    } catch (SocketTimeoutException e) {
      return onTimeout(address, e);
    } catch (IOException e) {
      return failed(kindOf(call, e), e);
    }
  }

  @Override
  public void close() {
    pools.close();
  }

  private static Request toHttp(BackendAddress address, EngineRequest request) {
    Request.Builder builder =
        new Request.Builder()
            .url(address.url("/v1/chat/completions"))
            .header("X-Request-Id", request.requestId())
            .header("X-Deadline-Ms", Long.toString(request.timeLeft().toMillis()))
            .post(RequestBody.create(request.body(), JSON));
    if (request.resumeOffset() > 0) {
      builder.header("X-Resume-Offset", Integer.toString(request.resumeOffset()));
    }
    return builder.build();
  }

  private Either<EngineFailure, EngineStream> accept(
      BackendAddress address, EngineRequest request, Call call, Response response) {
    if (!response.isSuccessful()) {
      return toFailure(response);
    }
    String echoed = response.header("X-Request-Id", request.requestId());
    if (!echoed.equals(request.requestId())) {
      response.close();
      return Either.left(
          new EngineFailure(
              EngineFailure.Kind.MISMATCHED,
              "the answer has the id of another request: " + echoed));
    }
    Runnable evictConnections = () -> pools.evict(address);
    return Either.right(
        new HttpEngineStream(json, call, response, request.requestId(), evictConnections));
  }

  private static Either<EngineFailure, EngineStream> toFailure(Response response) {
    int status = response.code();
    boolean provesNotRun = Boolean.parseBoolean(response.header(NOT_RUN_HEADER));
    response.close();
    String reason = "the backend server answered with status " + status;
    if (provesNotRun) {
      return Either.left(new EngineFailure(EngineFailure.Kind.REFUSED, reason));
    }
    boolean rejected = status >= BAD_REQUEST && status < FIRST_SERVER_ERROR;
    return Either.left(
        new EngineFailure(
            rejected ? EngineFailure.Kind.REJECTED : EngineFailure.Kind.BROKEN, reason));
  }

  private Either<EngineFailure, EngineStream> onTimeout(
      BackendAddress address, SocketTimeoutException e) {
    if (TimeoutClassifier.isConnectTimeout(e)) {
      return failed(EngineFailure.Kind.NOT_SENT, e);
    }
    pools.evict(address);
    return failed(EngineFailure.Kind.SILENT, e);
  }

  static EngineFailure.Kind kindOf(Call call, IOException e) {
    boolean deadlinePassed = e instanceof InterruptedIOException;
    if (deadlinePassed) {
      return EngineFailure.Kind.TIMED_OUT;
    }
    return call.isCanceled() ? EngineFailure.Kind.CANCELLED : EngineFailure.Kind.BROKEN;
  }

  private static <T> Either<EngineFailure, T> failed(EngineFailure.Kind kind, IOException e) {
    return Either.left(new EngineFailure(kind, String.valueOf(e.getMessage())));
  }
}
