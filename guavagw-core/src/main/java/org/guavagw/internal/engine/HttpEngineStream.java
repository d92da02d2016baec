package org.guavagw.internal.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import okhttp3.Call;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * Reads an answer as server-sent events.
 *
 * <p>The answer is complete only once its end marker has been read after a finish reason. Confined
 * to the reading thread, except for {@link #cancel()}.
 */
final class HttpEngineStream implements EngineStream {
  private static final String DATA_PREFIX = "data:";
  private static final String END_MARKER = "[DONE]";
  private static final String USAGE_FIELD = "\"usage\":{";
  private static final String FINISH_FIELD = "\"finish_reason\":\"";
  private static final long MAX_LINE_BYTES = 1 << 20;

  private final ObjectMapper json;
  private final Call call;
  private final Response response;
  private final BufferedSource source;
  private final String idField;
  private final Runnable evictConnections;
  private boolean finishReasonSeen;

  HttpEngineStream(
      ObjectMapper json,
      Call call,
      Response response,
      String requestId,
      Runnable evictConnections) {
    this.json = json;
    this.call = call;
    this.response = response;
    this.source = response.body().source();
    this.idField = "\"id\":\"" + requestId + "\"";
    this.evictConnections = evictConnections;
  }

  @Override
  public EngineStatus engineStatus() {
    String[] load = response.header("X-Load", "0/0/0").split("/", -1);
    return new EngineStatus(
        response.header("X-Boot-Id", ""),
        "cold".equals(response.header("X-Engine-State")),
        parseCount(load, 0),
        parseCount(load, 1),
        parseCount(load, 2));
  }

  @Override
  public Either<EngineFailure, EngineChunk> next() {
    try {
      return readEvent();
    } catch (SocketTimeoutException e) {
      evictConnections.run();
      return failed(
          EngineFailure.Kind.SILENT, "no data from the backend server within the time-out");
    } catch (IOException e) {
      return failed(HttpEngineClient.kindOf(call, e), String.valueOf(e.getMessage()));
    }
  }

  @Override
  public void cancel() {
    call.cancel();
  }

  @Override
  public void close() {
    response.close();
  }

  private Either<EngineFailure, EngineChunk> readEvent() throws IOException {
    while (!source.exhausted()) {
      String line = source.readUtf8LineStrict(MAX_LINE_BYTES);
      if (line.startsWith(DATA_PREFIX)) {
        return toChunk(line.substring(DATA_PREFIX.length()).strip());
      }
    }
    return failed(EngineFailure.Kind.BROKEN, "the answer ended before its end marker");
  }

  private Either<EngineFailure, EngineChunk> toChunk(String data) throws IOException {
    if (data.equals(END_MARKER)) {
      return finishReasonSeen
          ? Either.right(EngineChunk.END)
          : failed(EngineFailure.Kind.BROKEN, "end marker without a finish reason");
    }
    if (!data.contains(idField)) {
      return failed(EngineFailure.Kind.MISMATCHED, "the chunk has the id of another request");
    }
    boolean finish = data.contains(FINISH_FIELD);
    finishReasonSeen |= finish;
    TokenUsage usage = data.contains(USAGE_FIELD) ? readUsage(data) : TokenUsage.UNKNOWN;
    return Either.right(
        new EngineChunk(data.getBytes(StandardCharsets.UTF_8), usage, finish, false));
  }

  private TokenUsage readUsage(String data) throws IOException {
    JsonNode usage = json.readTree(data).path("usage");
    return new TokenUsage(
        usage.path("prompt_tokens").asLong(0), usage.path("completion_tokens").asLong(0));
  }

  private static int parseCount(String[] parts, int index) {
    if (index >= parts.length) {
      return 0;
    }
    try {
      return Integer.parseInt(parts[index]);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static <T> Either<EngineFailure, T> failed(EngineFailure.Kind kind, String reason) {
    return Either.left(new EngineFailure(kind, reason));
  }
}
