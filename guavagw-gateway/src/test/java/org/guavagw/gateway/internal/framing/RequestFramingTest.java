package org.guavagw.gateway.internal.framing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.guavagw.RefusalCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestFramingTest {
  private static final String OK = "read";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /a?b=c HTTP/1.1\r\n",
        "GET /a/..b/.c/d.. HTTP/1.1\r\n",
        "GET /a?b=/../c HTTP/1.1\r\n",
        "GET /a%2fb%20c HTTP/1.1\r\n",
        "GET http://h/a HTTP/1.1\r\n",
        "OPTIONS * HTTP/1.1\r\n",
        "GET /a HTTP/1.2\r\n",
        "\r\nGET /a HTTP/1.1\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 0\r\n",
        "POST /a HTTP/1.1\r\nX-A:\tb \u00e9\r\n",
        "POST /a HTTP/1.1\r\nX-A:\r\n",
        "POST /a HTTP/1.1\r\nExpect: 100-Continue\r\n",
        "POST /a HTTP/1.0\r\nContent-Length: 0\r\n"
      })
  void shouldReadARequestOnWhichAllReadersAgree(String head) {
    assertThat(read(head + "Host: h\r\n\r\n")).isEqualTo(OK);
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
        "POST /a HTTP/1.1\r\nTransfer-Encoding:\r\n",
        "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3, 4\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: +3\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: -3\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 0x3\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n",
        "POST /a HTTP/1.1\r\nContent-Length:\r\n",
        "POST /caf\u00c3\u00a9 HTTP/1.1\r\nContent-Length: 3\r\n",
        "POST  /a HTTP/1.1\r\n",
        "POST\t/a HTTP/1.1\r\n",
        "POST /a  HTTP/1.1\r\n",
        "POST /a HTTP/1.1 \r\n",
        " POST /a HTTP/1.1\r\n",
        "POST /a b HTTP/1.1\r\n",
        "POST /a\r\n",
        "POST /a HTTP/1\r\n",
        "POST /a http/1.1\r\n",
        "P(ST /a HTTP/1.1\r\n",
        "\r\n\r\nPOST /a HTTP/1.1\r\n",
        "\nPOST /a HTTP/1.1\r\n",
        "POST /a HTTP/1.1\n",
        "POST /a HTTP/1.1\r\nX-A: b\n",
        "POST /a HTTP/1.1\r\nX-A: b\rX-B: c\r\n",
        "POST /a HTTP/1.1\r\nX-A: b\r\n c\r\n",
        "POST /a HTTP/1.1\r\n X-A: b\r\n",
        "POST /a HTTP/1.1\r\nX-A\r\n",
        "POST /a HTTP/1.1\r\n: b\r\n",
        "POST /a HTTP/1.1\r\nX A: b\r\n",
        "POST /a HTTP/1.1\r\nX-A: b\u0000\r\n",
        "POST /a HTTP/1.1\r\nX-A: b\u007f\r\n",
        "POST /a HTTP/1.1\r\nHost: other\r\n",
        "POST /a#x HTTP/1.1\r\n",
        "POST /stock/../confirm/a HTTP/1.1\r\n",
        "POST /stock/%2E%2e/confirm/a HTTP/1.1\r\n",
        "POST /stock/.%2e HTTP/1.1\r\n",
        "POST /stock/./a HTTP/1.1\r\n",
        "POST /stock\\..\\confirm HTTP/1.1\r\n",
        "POST https://h/a HTTP/1.1\r\n",
        "POST http://user@h/a HTTP/1.1\r\n",
        "POST stock HTTP/1.1\r\n",
        "CONNECT h:80 HTTP/1.1\r\n"
      })
  void shouldRefuseARequestOnWhichReadersMayDiffer(String head) {
    assertThat(read(head + "Host: h\r\n\r\n")).isEqualTo("malformed_request");
  }

  @ParameterizedTest
  @ValueSource(strings = {"GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: a b\r\n\r\n"})
  void shouldRefuseARequestWithoutAValidHost(String request) {
    assertThat(read(request)).isEqualTo("malformed_request");
  }

  @ParameterizedTest
  @CsvSource({
    "GET /a HTTP/2.0, http_version_not_supported",
    "GET /a HTTP/0.9, http_version_not_supported",
    "GET /a HTTP/3.1, http_version_not_supported"
  })
  void shouldRefuseAnotherMajorVersion(String requestLine, String code) {
    assertThat(read(requestLine + "\r\nHost: h\r\n\r\n")).isEqualTo(code);
  }

  @ParameterizedTest
  @ValueSource(strings = {"200-ok", "100-continue, 200-ok", "100-continue;q=1"})
  void shouldRefuseAnUnknownExpectation(String expectation) {
    assertThat(read("GET /a HTTP/1.1\r\nHost: h\r\nExpect: " + expectation + "\r\n\r\n"))
        .isEqualTo("expectation_failed");
  }

  @ParameterizedTest
  @CsvSource({
    "5, read",
    "0005, read",
    "5;a=b, read",
    "5;a=\"b c\", read",
    "5 x, malformed_request",
    "'5 ', malformed_request",
    "' 5', malformed_request",
    "0x5, malformed_request",
    "-5, malformed_request",
    "+5, malformed_request",
    "g, malformed_request",
    "4, malformed_request",
    "'', malformed_request",
    "10000000000000005, malformed_request"
  })
  void shouldReadASizeOfAChunkOfDigitsOnly(String size, String result) {
    String body = size + "\r\nhello\r\n0\r\n\r\n";

    assertThat(read("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body))
        .isEqualTo(result);
  }

  @ParameterizedTest
  @ValueSource(strings = {"5\nhello\r\n0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "5\r\nhello0\r\n\r\n"})
  void shouldRefuseChunksWithoutCompleteLineEnds(String body) {
    assertThat(read("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body))
        .isEqualTo("malformed_request");
  }

  /** Returns the code with which bytes are refused, or that they are read as one request. */
  private static String read(String bytes) {
    RequestCheck check = new RequestCheck();
    EmbeddedChannel channel = new EmbeddedChannel(check, new HttpRequestDecoder());
    for (int i = 0; i < bytes.length(); i++) {
      channel.writeInbound(Unpooled.copiedBuffer(bytes.substring(i, i + 1), ISO_8859_1));
      check.expectNext();
    }
    Optional<String> result = Optional.empty();
    for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
      HttpObject part = (HttpObject) next;
      if (part.decoderResult().isFailure()) {
        return part.decoderResult().cause() instanceof FramingException framing
            ? framing.fault().code().wireName()
            : RefusalCode.MALFORMED_REQUEST.wireName();
      }
      if (part instanceof HttpRequest && result.isPresent()) {
        return "a second request";
      }
      result = part instanceof LastHttpContent ? Optional.of(OK) : result;
    }
    return result.orElse("incomplete");
  }
}
