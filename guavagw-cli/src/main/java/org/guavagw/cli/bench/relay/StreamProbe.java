package org.guavagw.cli.bench.relay;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/** Requests streamed answers and measures the time to the first token. Thread-safe; blocking. */
final class StreamProbe {
  private static final MediaType JSON = MediaType.get("application/json");

  private final OkHttpClient http;
  private final String url;
  private final String model;
  private final String key;

  StreamProbe(OkHttpClient http, int port, String model, String key) {
    this.http = http;
    this.url = "http://127.0.0.1:" + port + "/v1/chat/completions";
    this.model = model;
    this.key = key;
  }

  /** Measurements of one stream. Immutable. */
  record StreamTiming(long firstTokenNanos, int chunks, boolean complete) {}

  StreamTiming sendRequest(int number, int tokens) throws IOException {
    String body =
        "{\"model\":\""
            + model
            + "\",\"stream\":true,\"max_tokens\":"
            + tokens
            + ",\"messages\":[{\"role\":\"user\",\"content\":\"probe "
            + number
            + "\"}]}";
    Request request =
        new Request.Builder()
            .url(url)
            .header("Authorization", "Bearer " + key)
            .header("X-Request-Id", "probe-" + number)
            .post(RequestBody.create(body, JSON))
            .build();
    long start = System.nanoTime();
    try (Response response = http.newCall(request).execute()) {
      return read(response.body().source(), start);
    }
  }

  private static StreamTiming read(BufferedSource source, long start) throws IOException {
    long first = 0;
    int chunks = 0;
    while (!source.exhausted()) {
      String line = source.readUtf8LineStrict();
      if (!line.startsWith("data:")) {
        continue;
      }
      first = first == 0 ? System.nanoTime() - start : first;
      if (line.endsWith("[DONE]")) {
        return new StreamTiming(first, chunks, true);
      }
      chunks++;
    }
    return new StreamTiming(first, chunks, false);
  }
}
