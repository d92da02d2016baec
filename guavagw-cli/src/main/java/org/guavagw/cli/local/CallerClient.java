package org.guavagw.cli.local;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
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
 * A caller of the router, who checks that each answer is whole and its own. Thread-safe; calls
 * block.
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

  /** Asks an entry for a chat completion. */
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
    return send(request.build(), response -> readChat(response, call, prompt));
  }

  /** Posts to a plain service through an entry, under a key that marks repeats. */
  public CallerResult post(
      int port, String team, String service, String path, String key, String content) {
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + port + "/services/" + service + path)
            .header("Authorization", "Bearer " + DeploymentConfig.keyOf(team))
            .header("Idempotency-Key", key)
            .post(RequestBody.create(content, JSON))
            .build();
    return send(request, response -> Kind.ANSWERED);
  }

  @Override
  public void close() {
    http.dispatcher().executorService().shutdown();
    http.connectionPool().evictAll();
  }

  /** Judges a response that was not refused. */
  private interface Reader {
    Kind read(Response response) throws IOException;
  }

  private CallerResult send(Request request, Reader reader) {
    long start = System.nanoTime();
    String requestId = "";
    try (Response response = http.newCall(request).execute()) {
      requestId = response.header("X-Request-Id", "");
      if (response.header("X-Guavagw-Run-State") != null) {
        JsonNode error = json.readTree(response.body().byteStream()).path("error");
        return result(Kind.REFUSED, response, error, start);
      }
      return result(reader.read(response), response, json.createObjectNode(), start);
    } catch (IOException e) {
      return new CallerResult(Kind.CUT, requestId, "", "", "", since(start));
    }
  }

  private CallerResult result(Kind kind, Response response, JsonNode error, long start) {
    String model = response.header("X-Guavagw-Model", "");
    String version = model.isEmpty() ? "" : model + '@' + response.header("X-Guavagw-Version", "");
    return new CallerResult(
        kind,
        response.header("X-Request-Id", ""),
        error.path("code").asText(""),
        error.path("run_state").asText(""),
        version,
        since(start));
  }

  private Kind readChat(Response response, ChatCall call, String prompt) throws IOException {
    String text = call.stream() ? readStream(response) : readWhole(response);
    if (text == null) {
      return Kind.CUT;
    }
    String requestId = response.header("X-Request-Id", "");
    boolean whole = AnswerText.isWhole(requestId, prompt, call.maxTokens(), text);
    return whole ? Kind.ANSWERED : Kind.WRONG;
  }

  private String readWhole(Response response) throws IOException {
    JsonNode root = json.readTree(response.body().byteStream());
    return root.path("choices").path(0).path("message").path("content").asText();
  }

  private String readStream(Response response) throws IOException {
    BufferedSource source = response.body().source();
    StringBuilder text = new StringBuilder();
    while (!source.exhausted()) {
      String line = source.readUtf8LineStrict();
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      String data = line.substring(DATA_PREFIX.length());
      if (data.equals(END_MARK)) {
        return text.toString();
      }
      JsonNode chunk = json.readTree(data);
      text.append(chunk.path("choices").path(0).path("delta").path("content").asText(""));
    }
    return null;
  }

  private static Duration since(long startNanos) {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }
}
