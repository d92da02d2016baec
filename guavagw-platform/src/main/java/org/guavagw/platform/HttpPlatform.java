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
 * Clients of the platform's services over HTTP. Time-outs and request signing are those of the
 * given OkHttp client; a deployment that needs signatures adds an interceptor to it. Requests are
 * never retried. Immutable and thread-safe.
 */
public final class HttpPlatform {
  private final PlatformHttpClient httpClient;

  /** Creates clients that send their requests through the given OkHttp client. */
  public HttpPlatform(OkHttpClient client) {
    this.httpClient = new PlatformHttpClient(client);
  }

  /** Returns a client of a table service with the DynamoDB JSON protocol. */
  public TableService tableService(URI endpoint) {
    return new DynamoTableService(httpClient, url(endpoint), InstantSource.system());
  }

  /**
   * Returns a client of an object store with the S3 REST protocol; the URI ends with the bucket.
   */
  public ObjectStore objectStore(URI bucket) {
    return new S3ObjectStore(httpClient, url(bucket));
  }

  /** Returns a client of the VM list. */
  public VmList vmList(URI document) {
    return new JsonVmList(httpClient, url(document));
  }

  /** Returns a client of the rating service. */
  public RatingService ratingService(URI endpoint) {
    return new JsonRatingService(httpClient, url(endpoint));
  }

  /** Returns a client of the weight store. */
  public WeightStore weightStore(URI endpoint) {
    return new JsonWeightStore(httpClient, url(endpoint));
  }

  private static HttpUrl url(URI uri) {
    return HttpUrl.get(uri.toString());
  }
}
