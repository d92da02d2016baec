package org.guavagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Client of an engine stand-in. */
final class EngineClient {
  static final String MODEL = "report@v1";
  static final String PROMPT = "user\nhello\n";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(Duration.ofSeconds(1))
          .build();
  private final int port;

  EngineClient(int port) {
    this.port = port;
  }

  Request.Builder chat(String requestId, boolean stream, int maxTokens) {
    return chat(MODEL, requestId, stream, maxTokens);
  }

  Request.Builder chat(String model, String requestId, boolean stream, int maxTokens) {
    String body =
        """
        {"model":"%s","stream":%s,"max_tokens":%d,"stream_options":{"include_usage":true},
         "messages":[{"role":"user","content":"hello"}]}"""
            .formatted(model, stream, maxTokens);
    return request("/v1/chat/completions")
        .header("X-Request-Id", requestId)
        .post(RequestBody.create(body, JSON_TYPE));
  }

  Request.Builder request(String path) {
    return new Request.Builder().url("http://127.0.0.1:" + port + path);
  }

  Reply send(Request.Builder request) {
    try {
      return call(request);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Reply call(Request.Builder request) throws IOException {
    try (Response r = client.newCall(request.build()).execute()) {
      return new Reply(r.code(), r.headers().toMultimap(), r.body().string());
    }
  }

  Call start(Request.Builder request) {
    return client.newCall(request.build());
  }

  static JsonNode json(String text) {
    try {
      return JSON.readTree(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  record Reply(int status, Map<String, List<String>> headers, String body) {
    String header(String name) {
      return headers.containsKey(name) ? headers.get(name).get(0) : "";
    }

    String streamedText() {
      StringBuilder text = new StringBuilder();
      body.lines()
          .filter(l -> l.startsWith("data: {"))
          .map(l -> json(l.substring("data: ".length())))
          .forEach(c -> text.append(c.at("/choices/0/delta/content").asText()));
      return text.toString();
    }
  }
}
