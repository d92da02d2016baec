package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.guavagw.config.VersionRef;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.WeightStore;

/** A weight store that takes reservations as JSON and refuses with 429. Thread-safe; blocks. */
public record JsonWeightStore(PlatformHttpClient caller, HttpUrl url) implements WeightStore {
  @Override
  public Either<PlatformFailure, Void> reserveDownload(VersionRef version, String backendServer) {
    Reservation body = new Reservation(version.toString(), backendServer);
    return caller
        .callForSuccess(new Request.Builder().url(url).post(caller.jsonBody(body)))
        .map(r -> null);
  }

  /** A download that is asked for. */
  private record Reservation(String version, String backendServer) {}
}
