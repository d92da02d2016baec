package org.guavagw.platform;

import java.net.URI;
import java.time.InstantSource;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.guavagw.platform.internal.http.DynamoTableService;
import org.guavagw.platform.internal.http.JsonRatingService;
import org.guavagw.platform.internal.http.JsonVmList;
import org.guavagw.platform.internal.http.JsonWeightStore;
import org.guavagw.platform.internal.http.PlatformHttpClient;
import org.guavagw.platform.internal.http.S3ObjectStore;

/**
 * Clients of the platform's services over HTTP. Time-outs and, where the platform asks for them,
 * signatures are those of the given client: a deployment adds its signing interceptor there. No
 * request is ever sent twice. Immutable and thread-safe.
 */
public final class HttpPlatform {
  private final PlatformHttpClient caller;

  /** Makes clients that call through an OkHttp client. */
  public HttpPlatform(OkHttpClient client) {
    this.caller = new PlatformHttpClient(client);
  }

  /** A table service that speaks the DynamoDB JSON protocol. */
  public TableService tableService(URI endpoint) {
    return new DynamoTableService(caller, url(endpoint), InstantSource.system());
  }

  /** An object store that speaks the S3 REST protocol; the URI ends with the bucket. */
  public ObjectStore objectStore(URI bucket) {
    return new S3ObjectStore(caller, url(bucket));
  }

  /** A VM list. */
  public VmList vmList(URI document) {
    return new JsonVmList(caller, url(document));
  }

  /** A rating service. */
  public RatingService ratingService(URI endpoint) {
    return new JsonRatingService(caller, url(endpoint));
  }

  /** A weight store. */
  public WeightStore weightStore(URI endpoint) {
    return new JsonWeightStore(caller, url(endpoint));
  }

  private static HttpUrl url(URI uri) {
    return HttpUrl.get(uri.toString());
  }
}
