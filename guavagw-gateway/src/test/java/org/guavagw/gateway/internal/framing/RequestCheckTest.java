package org.guavagw.gateway.internal.framing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import org.guavagw.RefusalCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests that are sent ahead pass one at a time and in order. */
class RequestCheckTest {
  private final RequestCheck check = new RequestCheck();
  private final EmbeddedChannel channel = new EmbeddedChannel(check);

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  @Test
  void shouldPassTheNextRequestOnlyWhenItIsExpected() {
    write(request("/1") + request("/2").substring(0, 9));
    write(request("/2").substring(9) + request("/3"));
    assertThat(passed()).isEqualTo(request("/1"));

    check.expectNext();
    assertThat(passed()).isEqualTo(request("/2"));
    check.expectNext();
    assertThat(passed()).isEqualTo(request("/3"));
    check.expectNext();
    assertThat(passed()).isEmpty();
  }

  @Test
  void shouldNotReadOnWhileMuchIsKept() {
    write(request("/1"));
    for (int i = 0; i < 1000 && channel.config().isAutoRead(); i++) {
      write(request("/next"));
    }
    assertThat(channel.config().isAutoRead()).isFalse();
    assertThat(check.heldBytes()).isBetween(16_384L, 32_768L);

    while (!passed().isEmpty()) {
      check.expectNext();
    }
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void shouldRefuseAHeadOfTooManyFields() {
    String tooMany = "a:b\r\n".repeat(FramingScanner.MAX_FIELDS + 1);
    write("GET / HTTP/1.1\r\nHost: h\r\n" + tooMany + "\r\n");

    HttpRequest refused = channel.readInbound();
    assertThat(refused.decoderResult().cause())
        .isInstanceOfSatisfying(
            FramingException.class,
            e -> assertThat(e.fault().code()).isEqualTo(RefusalCode.REQUEST_TOO_LARGE));
  }

  private static String request(String target) {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  private void write(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, ISO_8859_1));
  }

  /** Returns the bytes that have passed since the last call. */
  private String passed() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf next = channel.readInbound(); next != null; next = channel.readInbound()) {
      text.append(next.toString(ISO_8859_1));
      next.release();
    }
    return text.toString();
  }
}
