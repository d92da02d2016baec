package org.guavagw.gateway.internal.relay;

import com.google.common.base.Splitter;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Tells headers of one connection from those that go from end to end. Stateless. */
public final class HopHeaders {
  private static final List<CharSequence> OF_ONE_CONNECTION =
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

  private HopHeaders() {}

  /**
   * A copy without the headers that concern one connection only, those it names itself included.
   */
  public static HttpHeaders endToEnd(HttpHeaders headers) {
    HttpHeaders copy =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    for (Map.Entry<String, String> header : headers) {
      copy.add(header.getKey(), header.getValue());
    }
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : NAMES.split(value.toLowerCase(Locale.ROOT))) {
        copy.remove(name);
      }
    }
    OF_ONE_CONNECTION.forEach(copy::remove);
    return copy;
  }
}
