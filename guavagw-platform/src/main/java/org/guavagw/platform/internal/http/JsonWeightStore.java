package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.guavagw.config.VersionRef;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.WeightStore;

/** Client of a weight store that takes JSON and refuses with 429. Thread-safe; calls block. */
public record JsonWeightStore(PlatformHttpClient client, HttpUrl url) implements WeightStore {
  @Override
  public Either<PlatformFailure, Void> reserveDownload(VersionRef version, String backendServer) {
    Reservation body = new Reservation(version.toString(), backendServer);
    return client
        .callForSuccess(new Request.Builder().url(url).post(client.jsonBody(body)))
        .map(r -> null);
  }

  /** The requested download. */
  private record Reservation(String version, String backendServer) {}
}
