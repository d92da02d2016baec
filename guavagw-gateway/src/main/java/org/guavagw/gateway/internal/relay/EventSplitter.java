package org.guavagw.gateway.internal.relay;

import com.google.common.base.Splitter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>Invariants: bytes are returned unchanged and in order; a partial event is never returned. Not
 * thread-safe; must be released after use.
 */
final class EventSplitter {
  /** Backend servers send no events larger than this. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private static final Splitter LINES = Splitter.on('\n');
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private ByteBuf partial = Unpooled.EMPTY_BUFFER;

  /** Adds bytes and returns the events that they complete; the caller must release these. */
  List<Event> add(ByteBuf content) {
    ByteBuf buffered = Unpooled.buffer(partial.readableBytes() + content.readableBytes());
    buffered
        .writeBytes(partial)
        .writeBytes(content, content.readerIndex(), content.readableBytes());
    partial.release();
    List<Event> events = new ArrayList<>();
    int start = buffered.readerIndex();
    for (int end = endOfEvent(buffered, start); end > 0; end = endOfEvent(buffered, start)) {
      ByteBuf event = buffered.copy(start, end - start);
      events.add(new Event(event, idOf(event)));
      start = end;
    }
    partial = buffered.copy(start, buffered.writerIndex() - start);
    buffered.release();
    return events;
  }

  /** Returns whether a partial event is buffered. */
  boolean hasPartialEvent() {
    return partial.isReadable();
  }

  /** Returns whether the partial event exceeds the size limit. */
  boolean overflowed() {
    return partial.readableBytes() > MAX_EVENT_BYTES;
  }

  void release() {
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
  }

  /** Returns the index after the blank line that ends the event, or -1 if it is incomplete. */
  private static int endOfEvent(ByteBuf buffered, int start) {
    int lineStart = start;
    while (true) {
      int lineFeed = buffered.indexOf(lineStart, buffered.writerIndex(), LINE_FEED);
      if (lineFeed < 0) {
        return -1;
      }
      int length = lineFeed - lineStart;
      boolean blank =
          length == 0 || (length == 1 && buffered.getByte(lineStart) == CARRIAGE_RETURN);
      if (blank) {
        return lineFeed + 1;
      }
      lineStart = lineFeed + 1;
    }
  }

  private static OptionalLong idOf(ByteBuf event) {
    for (String line : LINES.split(event.toString(StandardCharsets.UTF_8))) {
      if (line.startsWith(ID_FIELD)) {
        return parse(line.substring(ID_FIELD.length()).trim());
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong parse(String id) {
    try {
      return OptionalLong.of(Long.parseLong(id));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** A complete event with its bytes and its id, if it has a numeric one. */
  record Event(ByteBuf bytes, OptionalLong id) {}
}
