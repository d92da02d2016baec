package org.guavagw.gateway.internal.framing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnswerFramingTest {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 404 Not \u00e9\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 599 X\r\nTransfer-Encoding: Chunked\r\n\r\n2;a=b\r\nab\r\n0\r\nT: 1\r\n\r\n",
        "HTTP/1.1 204 X\r\n\r\n",
        "HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n"
      })
  void shouldReadAnAnswerWhoseEndIsCertain(String answer) {
    assertThat(read(answer, HttpMethod.POST)).isEqualTo("read");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 000\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 000 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 000 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 000 X\r\n\r\n",
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 20 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2000 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1  200 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/2.0 200 X\r\nContent-Length: 0\r\n\r\n",
        "http/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
        " HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
        "\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 X\r\nUpgrade: h2c\r\n\r\n",
        "HTTP/1.1 200 X\r\nContent-Length : 4\r\n\r\nabcd",
        "HTTP/1.1 200 X\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 X\r\nContent-Length: 4, 4\r\n\r\nabcd",
        "HTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 X\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: xchunked\r\n\r\nab",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: identity\r\n\r\nab",
        "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 X\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\r\nX-A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\r\nX-A: b\u0001\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OKHTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\r\nX-A: HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\r\nX-WorHTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nab\r\n0\r\n\r\n"
      })
  void shouldRefuseAnAnswerWhoseEndIsNotCertain(String answer) {
    assertThat(read(answer, HttpMethod.POST)).isEqualTo("refused");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X A",
        "X-A ",
        "X-A\t",
        " X-A",
        "\tX-A",
        "X-\u0000A",
        "\u0001X-A",
        "X-A\u001f",
        "X-A\u007f",
        "X-\u000bA",
        "",
        "Content-Length ",
        "Content Length",
        "Content\u0000-Length",
        "Transfer-Encoding ",
        "Transfer-Encoding\u0001"
      })
  void shouldRefuseAnAnswerWithAFieldNameThatIsNotValid(String name) {
    String line = name + ": 1\r\n";

    assertThat(read("HTTP/1.1 200 X\r\nContent-Length: 1\r\n" + line + "\r\na", HttpMethod.POST))
        .isEqualTo("refused");
    assertThat(read("HTTP/1.1 200 X\r\n" + line + "X-B: b\r\n\r\na", HttpMethod.POST))
        .isEqualTo("refused");
    assertThat(
            read(
                "HTTP/1.1 103 X\r\n" + line + "\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
                HttpMethod.POST))
        .isEqualTo("refused");
    assertThat(
            read(
                "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + line + "\r\n",
                HttpMethod.POST))
        .isEqualTo("refused");
    assertThat(read("HTTP/1.1 200 X\r\n" + line + "\r\n", HttpMethod.HEAD)).isEqualTo("refused");
  }

  @Test
  void shouldReadAnAnswerToAHeadRequestWithoutABody() {
    assertThat(read("HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n", HttpMethod.HEAD))
        .isEqualTo("read");
  }

  @Test
  void shouldCountWhatAHeadHoldsOnlyUntilItIsComplete() {
    AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig(), () -> {});
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    decoder.onRequest(HttpMethod.GET);
    channel.writeInbound(head("HTTP/1.1 200 X\r\nX-A: " + "b".repeat(5000)));
    assertThat(decoder.heldBytes()).isBetween(10_000L, 40_000L);

    channel.writeInbound(head("\r\nContent-Length: 2\r\n\r\nx"));
    assertThat(decoder.heldBytes()).isZero();
    channel.finishAndReleaseAll();
  }

  @Test
  void shouldKeepNothingThatArrivesOnAConnectionThatOnlyChecksAServer() {
    List<String> reports = new ArrayList<>();
    AnswerDecoder decoder =
        new AnswerDecoder(new HttpDecoderConfig(), () -> reports.add("unexpected"));
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    for (int i = 0; i < 100; i++) {
      channel.writeInbound(head("x".repeat(5000)));
    }

    assertThat(reports).hasSize(100);
    assertThat(decoder.heldBytes()).isZero();
    assertThat(channel.inboundMessages()).isEmpty();
  }

  private static ByteBuf head(String text) {
    return Unpooled.copiedBuffer(text, ISO_8859_1);
  }

  /** Feeds byte by byte; returns whether one whole answer was read or it was refused. */
  private static String read(String bytes, HttpMethod method) {
    AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig(), () -> {});
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    decoder.onRequest(method);
    for (int i = 0; i < bytes.length(); i++) {
      channel.writeInbound(Unpooled.copiedBuffer(bytes.substring(i, i + 1), ISO_8859_1));
    }
    String result = "incomplete";
    boolean interim = false;
    for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
      HttpObject part = (HttpObject) next;
      if (part.decoderResult().isFailure()) {
        return "refused";
      }
      if (part instanceof HttpResponse response) {
        interim = response.status().code() < 200;
      }
      result = part instanceof LastHttpContent && !interim ? "read" : result;
    }
    return result;
  }
}
