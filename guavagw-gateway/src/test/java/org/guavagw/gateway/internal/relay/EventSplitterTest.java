package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventSplitterTest {
  private static final String STREAM =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

  @Test
  void shouldHoldBackAPartialEvent() {
    EventSplitter splitter = new EventSplitter();
    assertThat(add(splitter, "id: 1\ndata: a\n\nid: 2\nda")).containsExactly("id: 1\ndata: a\n\n");
    assertThat(splitter.hasPartialEvent()).isTrue();
  }

  @Property
  void shouldReturnTheSameBytesForAnyChunkSize(@ForAll @IntRange(min = 1, max = 12) int chunkSize) {
    EventSplitter splitter = new EventSplitter();
    StringBuilder returned = new StringBuilder();
    for (int start = 0; start < STREAM.length(); start += chunkSize) {
      String chunk = STREAM.substring(start, Math.min(STREAM.length(), start + chunkSize));
      add(splitter, chunk).forEach(returned::append);
    }
    assertThat(returned.toString()).isEqualTo(STREAM);
    assertThat(splitter.hasPartialEvent()).isFalse();
  }

  @Test
  void shouldReturnLinesWithoutAFieldWithTheEventThatFollows() {
    EventSplitter splitter = new EventSplitter();
    assertThat(add(splitter, "\n\n: comment\n\n")).isEmpty();
    assertThat(splitter.hasPartialEvent()).isFalse();
    assertThat(add(splitter, "id: 1\n\n")).containsExactly("\n\n: comment\n\nid: 1\n\n");
    assertThat(add(splitter, ": end\n\n")).isEmpty();
    assertThat(splitter.takeRest().toString(StandardCharsets.UTF_8)).isEqualTo(": end\n\n");
  }

  @Test
  void shouldOverflowOnBlankLinesWithoutEnd() {
    EventSplitter splitter = new EventSplitter();
    for (int i = 0; i <= 1 << 10; i++) {
      assertThat(add(splitter, "\n".repeat(1 << 10))).isEmpty();
    }
    assertThat(splitter.overflowed()).isTrue();
  }

  @Test
  void shouldHoldNoMemoryOfAnEventThatItHasReturned() {
    EventSplitter splitter = new EventSplitter();
    assertThat(add(splitter, "data: " + "x".repeat(1 << 19))).isEmpty();
    assertThat(splitter.heldBytes()).isGreaterThanOrEqualTo(1 << 19);
    assertThat(add(splitter, "\n\nd")).hasSize(1);
    assertThat(splitter.heldBytes()).isLessThanOrEqualTo(1 << 10);
    assertThat(add(splitter, ":\n\n")).hasSize(1);
    assertThat(splitter.heldBytes()).isZero();
  }

  @Test
  @Timeout(5)
  void shouldTakeAsLongForTheLastByteOfALargeEventAsForTheFirst() {
    EventSplitter splitter = new EventSplitter();
    ByteBuf oneByte = Unpooled.copiedBuffer("x", StandardCharsets.UTF_8);
    for (int i = 0; i < 1 << 20; i++) {
      assertThat(splitter.add(oneByte)).isEmpty();
    }
    assertThat(splitter.hasPartialEvent()).isTrue();
  }

  @Test
  void shouldParseEventIds() {
    EventSplitter splitter = new EventSplitter();
    List<Long> ids = new ArrayList<>();
    splitter
        .add(Unpooled.copiedBuffer(STREAM, StandardCharsets.UTF_8))
        .forEach(e -> ids.add(e.id().orElseThrow()));
    assertThat(ids).containsExactly(1L, 2L, 3L);
  }

  private static List<String> add(EventSplitter splitter, String text) {
    return splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)).stream()
        .map(e -> e.bytes().toString(StandardCharsets.UTF_8))
        .toList();
  }
}
