package org.guavagw.gateway.internal.relay;

import com.google.common.base.Splitter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts a stream of server-sent events into whole events.
 *
 * <p>Invariants: bytes are passed on unchanged and in order; a part of an event is never passed on.
 * Not thread-safe; to be released when done.
 */
final class EventSplitter {
  /** An event larger than this is no event of a backend server. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private static final Splitter LINES = Splitter.on('\n');
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private ByteBuf rest = Unpooled.EMPTY_BUFFER;

  /** Takes bytes and returns the events that they complete; the caller releases these. */
  List<Event> add(ByteBuf content) {
    ByteBuf all = Unpooled.buffer(rest.readableBytes() + content.readableBytes());
    all.writeBytes(rest).writeBytes(content, content.readerIndex(), content.readableBytes());
    rest.release();
    List<Event> events = new ArrayList<>();
    int start = all.readerIndex();
    for (int end = endOfEvent(all, start); end > 0; end = endOfEvent(all, start)) {
      ByteBuf event = all.copy(start, end - start);
      events.add(new Event(event, idOf(event)));
      start = end;
    }
    rest = all.copy(start, all.writerIndex() - start);
    all.release();
    return events;
  }

  /** Whether bytes of an unfinished event are left. */
  boolean midEvent() {
    return rest.isReadable();
  }

  /** Whether what is left cannot become an event. */
  boolean overflowed() {
    return rest.readableBytes() > MAX_EVENT_BYTES;
  }

  void release() {
    rest.release();
    rest = Unpooled.EMPTY_BUFFER;
  }

  /** Index after the blank line that ends the event, or -1. */
  private static int endOfEvent(ByteBuf all, int start) {
    int lineStart = start;
    while (true) {
      int feed = all.indexOf(lineStart, all.writerIndex(), LINE_FEED);
      if (feed < 0) {
        return -1;
      }
      int length = feed - lineStart;
      boolean blank = length == 0 || (length == 1 && all.getByte(lineStart) == CARRIAGE_RETURN);
      if (blank) {
        return feed + 1;
      }
      lineStart = feed + 1;
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

  /** A whole event with its bytes and its id, where it has a numeric one. */
  record Event(ByteBuf bytes, OptionalLong id) {}
}
