package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.PlatformFailure;

/**
 * Client of an object store with the S3 REST protocol and path-style addresses. Requests are
 * unsigned; a deployment adds a signing interceptor. Thread-safe; calls block.
 */
public final class S3ObjectStore implements ObjectStore {
  private static final MediaType BINARY = MediaType.get("application/octet-stream");

  private final PlatformHttpClient client;
  private final HttpUrl bucketUrl;

  /** Creates a client of the bucket at a URL. */
  public S3ObjectStore(PlatformHttpClient client, HttpUrl bucketUrl) {
    this.client = client;
    this.bucketUrl = bucketUrl;
  }

  @Override
  public Either<PlatformFailure, Void> put(String name, byte[] content) {
    return client
        .callForSuccess(object(name).put(RequestBody.create(content, BINARY)))
        .map(r -> null);
  }

  @Override
  public Either<PlatformFailure, Optional<byte[]>> get(String name) {
    return client.call(object(name)).flatMap(S3ObjectStore::content);
  }

  @Override
  public Either<PlatformFailure, List<String>> list(String prefix) {
    List<String> names = new ArrayList<>();
    Optional<String> token = Optional.empty();
    do {
      Either<PlatformFailure, S3Listing> page = page(prefix, token);
      if (page.isLeft()) {
        return Either.left(page.getLeft());
      }
      names.addAll(page.get().names());
      token = page.get().nextToken();
    } while (token.isPresent());
    return Either.right(List.copyOf(names));
  }

  private static Either<PlatformFailure, Optional<byte[]>> content(HttpReply reply) {
    if (reply.notFound()) {
      return Either.right(Optional.empty());
    }
    return reply.successful()
        ? Either.right(Optional.of(reply.body()))
        : Either.left(PlatformHttpClient.refusal(reply));
  }

  private Either<PlatformFailure, S3Listing> page(String prefix, Optional<String> token) {
    HttpUrl.Builder url =
        bucketUrl
            .newBuilder()
            .addQueryParameter("list-type", "2")
            .addQueryParameter("prefix", prefix);
    token.ifPresent(t -> url.addQueryParameter("continuation-token", t));
    return client
        .callForSuccess(new Request.Builder().url(url.build()))
        .flatMap(r -> S3Listing.read(r.body()));
  }

  private Request.Builder object(String name) {
    return new Request.Builder().url(bucketUrl.newBuilder().addPathSegments(name).build());
  }
}
