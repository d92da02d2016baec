package org.guavagw.gateway.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decides whether the end of a request is certain (RFC 9112, section 6). Where it is not, a backend
 * server could take a part of the body for a request of its own. Stateless.
 */
final class RequestFraming {
  private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

  /** Characters of a request target; others could be read in more than one way. */
  private static final Pattern TARGET = Pattern.compile("[!-~]+");

  private RequestFraming() {}

  /** Returns whether all readers agree on where the request ends. */
  static boolean isCertain(HttpRequest request) {
    HttpHeaders headers = request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (!TARGET.matcher(request.uri()).matches()) {
      return false;
    }
    if (encodings.isEmpty()) {
      return lengths.isEmpty() || (lengths.size() == 1 && LENGTH.matcher(lengths.get(0)).matches());
    }
    return lengths.isEmpty()
        && encodings.size() == 1
        && encodings.get(0).equalsIgnoreCase("chunked")
        && !request.protocolVersion().equals(HttpVersion.HTTP_1_0);
  }
}
