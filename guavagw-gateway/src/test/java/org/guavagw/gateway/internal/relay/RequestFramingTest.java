package org.guavagw.gateway.internal.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestFramingTest {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /a?b=c HTTP/1.1\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n",
        "POST /a HTTP/1.0\r\nContent-Length: 0\r\n"
      })
  void shouldAcceptARequestWhoseEndIsCertain(String head) {
    assertThat(isCertain(head)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: identity\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 3\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding : chunked\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: \"chunked\"\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\u000b\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3, 4\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: +3\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: -3\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 0x3\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n",
        "POST /caf\u00c3\u00a9 HTTP/1.1\r\nContent-Length: 3\r\n"
      })
  void shouldRefuseARequestWhoseEndIsNotCertain(String head) {
    assertThat(isCertain(head)).isFalse();
  }

  private static boolean isCertain(String head) {
    EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder());
    channel.writeInbound(Unpooled.copiedBuffer(head + "Host: h\r\n\r\n", ISO_8859_1));
    Object first = channel.readInbound();
    return first instanceof HttpRequest request
        && !request.decoderResult().isFailure()
        && RequestFraming.isCertain(request);
  }
}
