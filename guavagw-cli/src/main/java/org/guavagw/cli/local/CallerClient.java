package org.guavagw.cli.local;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.guavagw.cli.local.CallerResult.Kind;
import org.guavagw.standins.engine.AnswerText;
import org.guavagw.standins.engine.Prompts;

/**
 * Client of an entry that checks that each answer is complete and belongs to its request.
 * Thread-safe; calls block.
 */
public final class CallerClient implements AutoCloseable {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);
  private static final String DATA_PREFIX = "data: ";
  private static final String END_MARK = "[DONE]";

  private final ObjectMapper json = new ObjectMapper();
  private final OkHttpClient http =
      new OkHttpClient.Builder()
          .readTimeout(READ_TIMEOUT)
          .retryOnConnectionFailure(false)
          .dispatcher(new Dispatcher())
          .build();

  /** Requests a chat completion from an entry. */
  public CallerResult chat(int port, ChatCall call) {
    ObjectNode body = json.createObjectNode();
    body.put("model", call.model());
    body.put("stream", call.stream());
    body.put("max_tokens", call.maxTokens());
    body.putArray("messages").addObject().put("role", "user").put("content", call.prompt());
    Request.Builder request =
        new Request.Builder()
            .url("http://127.0.0.1:" + port + "/v1/chat/completions")
            .header("Authorization", "Bearer " + DeploymentConfig.keyOf(call.team()))
            .post(RequestBody.create(body.toString(), JSON));
    if (!call.sessionId().isEmpty()) {
      request.header("X-Session-Id", call.sessionId());
    }
    String prompt = Prompts.text(body.get("messages"));
    return send(
        request.build(),
        response -> call.stream() ? readStream(response) : readBuffered(response),
        id -> text -> checkAnswer(id, prompt, call.maxTokens(), text));
  }

  /** Sends a POST request with an idempotency key to a plain service through an entry. */
  public CallerResult post(
      int port, String team, String service, String path, String key, String content) {
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + port + "/services/" + service + path)
            .header("Authorization", "Bearer " + DeploymentConfig.keyOf(team))
            .header("Idempotency-Key", key)
            .post(RequestBody.create(content, JSON))
            .build();
    return send(
        request, response -> Optional.of(response.body().string()), id -> text -> Kind.ANSWERED);
  }

  @Override
  public void close() {
    http.dispatcher().executorService().shutdown();
    http.connectionPool().evictAll();
  }

  /** Reads the text of an answer; empty if the answer was truncated. */
  private interface Reader {
    Optional<String> read(Response response) throws IOException;
  }

  private CallerResult send(Request request, Reader reader, AnswerCheck checkAnswer) {
    long start = System.nanoTime();
    String requestId = "";
    try (Response response = http.newCall(request).execute()) {
      requestId = requestIdOf(response);
      if (response.header("X-Guavagw-Run-State") != null) {
        return refused(response, start);
      }
      Optional<String> text = reader.read(response);
      Kind kind = text.map(checkAnswer.of(requestId)).orElse(Kind.CUT);
      return new CallerResult(
          kind, requestId, "", "", versionOf(response), text.orElse(""), since(start));
    } catch (IOException e) {
      return new CallerResult(Kind.CUT, requestId, "", "", "", "", since(start));
    }
  }

  /** Checks the text of the answer to a request. */
  private interface AnswerCheck {
    Function<String, Kind> of(String requestId);
  }

  private CallerResult refused(Response response, long start) throws IOException {
    JsonNode error = json.readTree(response.body().byteStream()).path("error");
    return new CallerResult(
        Kind.REFUSED,
        response.header("X-Request-Id", ""),
        error.path("code").asText(""),
        error.path("run_state").asText(""),
        "",
        "",
        since(start));
  }

  /** Returns the id of the request that was executed; for a replayed answer, the original one. */
  private static String requestIdOf(Response response) {
    return response.header("X-Guavagw-Replay-Of", response.header("X-Request-Id", ""));
  }

  private static String versionOf(Response response) {
    String model = response.header("X-Guavagw-Model", "");
    return model.isEmpty() ? "" : model + '@' + response.header("X-Guavagw-Version", "");
  }

  private Optional<String> readBuffered(Response response) throws IOException {
    JsonNode root = json.readTree(response.body().byteStream());
    return Optional.of(root.path("choices").path(0).path("message").path("content").asText());
  }

  private Optional<String> readStream(Response response) throws IOException {
    BufferedSource source = response.body().source();
    StringBuilder text = new StringBuilder();
    while (!source.exhausted()) {
      String line = source.readUtf8LineStrict();
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      String data = line.substring(DATA_PREFIX.length());
      if (data.equals(END_MARK)) {
        return Optional.of(text.toString());
      }
      JsonNode chunk = json.readTree(data);
      text.append(chunk.path("choices").path(0).path("delta").path("content").asText(""));
    }
    return Optional.empty();
  }

  private static Kind checkAnswer(String requestId, String prompt, int tokens, String text) {
    return AnswerText.isComplete(requestId, prompt, tokens, text) ? Kind.ANSWERED : Kind.WRONG;
  }

  private static Duration since(long startNanos) {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }
}
