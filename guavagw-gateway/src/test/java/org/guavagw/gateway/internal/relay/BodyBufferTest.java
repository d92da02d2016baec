package org.guavagw.gateway.internal.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;

class BodyBufferTest {
  private static final int MAX_BYTES = 300_000;

  private final BodyBuffer body = new BodyBuffer();

  @Test
  void shouldJoinChunksInOrder() {
    StringBuilder expected = new StringBuilder();
    for (int i = 0; i < 100; i++) {
      String chunk = Integer.toString(i).repeat(1000);
      expected.append(chunk);
      add(chunk, true);
    }
    assertThat(body.heldBytes()).isGreaterThanOrEqualTo(expected.length());
    ByteBuf complete = body.take();
    assertThat(complete.toString(ISO_8859_1)).isEqualTo(expected.toString());
    complete.release();
    assertThat(body.heldBytes()).isZero();
  }

  @Test
  void shouldHoldNothingOfABodyThatIsTooLarge() {
    add("x".repeat(MAX_BYTES), true);
    assertThat(body.isTooLarge()).isFalse();
    add("x", true);
    assertThat(body.isTooLarge()).isTrue();
    assertThat(body.heldBytes()).isZero();
  }

  @Test
  void shouldCountWhatIsNotKept() {
    add("x".repeat(MAX_BYTES), false);
    assertThat(body.heldBytes()).isZero();
    add("x", false);
    assertThat(body.isTooLarge()).isTrue();
  }

  private void add(String text, boolean kept) {
    ByteBuf chunk = Unpooled.copiedBuffer(text, ISO_8859_1);
    body.add(chunk, UnpooledByteBufAllocator.DEFAULT, MAX_BYTES, kept);
    chunk.release();
  }
}
