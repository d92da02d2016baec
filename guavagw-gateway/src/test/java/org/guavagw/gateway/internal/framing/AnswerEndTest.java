package org.guavagw.gateway.internal.framing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Closes the connection of an answer without a length, by its end or for another reason. */
class AnswerEndTest {
  private final AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig(), () -> {});
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder, new IgnoreErrors());

  @BeforeEach
  void receivePart() {
    decoder.onRequest(HttpMethod.POST);
    channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 X\r\n\r\npart", ISO_8859_1));
  }

  @AfterEach
  void release() {
    channel.finishAndReleaseAll();
  }

  @Test
  void shouldBeCompleteOnceTheEndOfTheInputIsRead() {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

    assertThat(isComplete()).isTrue();
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void shouldNotBeCompleteIfTheConnectionIsClosedBeforeTheEndOfTheInputIsRead() {
    var unused = channel.close();

    assertThat(isComplete()).isFalse();
  }

  @Test
  void shouldNotBeCompleteIfTheInputEndsWithAnError() {
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

    assertThat(isComplete()).isFalse();
    assertThat(channel.isOpen()).isFalse();
  }

  private boolean isComplete() {
    return channel.inboundMessages().stream().anyMatch(LastHttpContent.class::isInstance);
  }

  /** The handler behind the decoder, which doesn't close the connection. */
  private static final class IgnoreErrors extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Leaves the end of the connection to the decoder.
    }
  }
}
