package org.guavagw.internal.load;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.guavagw.config.BackendServerConfig;

/** Reads loads over HTTP. Thread-safe; futures complete on the client's threads. */
public final class HttpLoadSource implements LoadSource {
  private static final ObjectMapper JSON = JsonMapper.builder().build();

  private final OkHttpClient client;

  /** Creates a source with a client whose call timeout limits each poll. */
  public HttpLoadSource(OkHttpClient client) {
    this.client = client;
  }

  @Override
  public CompletionStage<Either<LoadFailure, ServerLoad>> load(BackendServerConfig server) {
    return get(url(server, "load").build(), new TypeReference<ServerLoad>() {});
  }

  @Override
  public CompletionStage<Either<LoadFailure, List<CacheEvent>>> cacheEvents(
      BackendServerConfig server, long after) {
    HttpUrl url =
        url(server, "cache-events").addQueryParameter("after", Long.toString(after)).build();
    return get(url, new TypeReference<List<CacheEvent>>() {});
  }

  private static HttpUrl.Builder url(BackendServerConfig server, String path) {
    return new HttpUrl.Builder()
        .scheme("http")
        .host(server.host())
        .port(server.port())
        .addPathSegment(path);
  }

  private <T> CompletionStage<Either<LoadFailure, T>> get(HttpUrl url, TypeReference<T> type) {
    CompletableFuture<Either<LoadFailure, T>> answer = new CompletableFuture<>();
    client
        .newCall(new Request.Builder().url(url).build())
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                answer.complete(Either.left(LoadFailure.UNREACHABLE));
              }

              @Override
              public void onResponse(Call call, Response response) {
                answer.complete(read(response, type));
              }
            });
    return answer;
  }

  private static <T> Either<LoadFailure, T> read(Response response, TypeReference<T> type) {
    try (response) {
      if (!response.isSuccessful()) {
        return Either.left(LoadFailure.BAD_ANSWER);
      }
      return Either.right(JSON.readValue(response.body().byteStream(), type));
    } catch (IOException e) {
      return Either.left(LoadFailure.BAD_ANSWER);
    }
  }
}
