package org.guavagw.gateway.internal.framing;

import com.google.common.base.Splitter;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Removes headers that apply to a single connection: the hop-by-hop headers as well as
 * Content-Length and Expect, which the gateway handles itself on each connection. Stateless.
 */
public final class HopByHopHeaders {
  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          "proxy-connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.EXPECT);

  private static final Splitter NAMES = Splitter.on(',').trimResults();

  private HopByHopHeaders() {}

  /**
   * Returns a copy without these headers, which include those that the Connection header names.
   *
   * @param endToEnd names in lower case that the Connection header can't name, as the message would
   *     be another one without them
   */
  public static HttpHeaders strip(HttpHeaders headers, Set<String> endToEnd) {
    HttpHeaders copy =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    for (Map.Entry<String, String> header : headers) {
      copy.add(header.getKey(), header.getValue());
    }
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : NAMES.split(value.toLowerCase(Locale.ROOT))) {
        if (!endToEnd.contains(name)) {
          copy.remove(name);
        }
      }
    }
    HOP_BY_HOP.forEach(copy::remove);
    return copy;
  }
}
