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
 * <p>Invariants: bytes are returned unchanged and in order; a partial event is never returned;
 * lines without a field, such as comments, belong to the event that follows; the work for a byte
 * does not depend on how many are buffered. Not thread-safe; must be released after use.
 */
final class EventSplitter {
  /** Backend servers send no events larger than this. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private static final int INITIAL_BYTES = 1024;
  private static final Splitter LINES = Splitter.on('\n');
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte COMMENT = ':';
  private static final String ID_FIELD = "id:";

  private final ByteBuf buffered = Unpooled.buffer(INITIAL_BYTES);

  /** Index of the first line of the partial event that was not looked at yet. */
  private int lineStart;

  /** Index up to which that line is known to have no end. */
  private int searched;

  private boolean hasField;

  /** Adds bytes and returns the events that they complete; the caller must release these. */
  List<Event> add(ByteBuf content) {
    buffered.writeBytes(content, content.readerIndex(), content.readableBytes());
    List<Event> events = new ArrayList<>();
    for (int end = nextLineEnd(); end >= 0; end = nextLineEnd()) {
      boolean blank = isBlank(end);
      hasField |= !blank && buffered.getByte(lineStart) != COMMENT;
      lineStart = end + 1;
      searched = lineStart;
      if (blank && hasField) {
        events.add(take(lineStart));
      }
    }
    discardTaken();
    return events;
  }

  /** Returns the index of the line feed that ends the next line; -1 if it is incomplete. */
  private int nextLineEnd() {
    int lineFeed = buffered.indexOf(searched, buffered.writerIndex(), LINE_FEED);
    if (lineFeed < 0) {
      searched = buffered.writerIndex();
    }
    return lineFeed;
  }

  private boolean isBlank(int end) {
    int length = end - lineStart;
    return length == 0 || (length == 1 && buffered.getByte(lineStart) == CARRIAGE_RETURN);
  }

  private Event take(int end) {
    ByteBuf bytes = buffered.readBytes(end - buffered.readerIndex());
    hasField = false;
    return new Event(bytes, idOf(bytes));
  }

  private void discardTaken() {
    int taken = buffered.readerIndex();
    if (taken > 0) {
      buffered.discardReadBytes();
      trim();
      lineStart -= taken;
      searched -= taken;
    }
  }

  /** Frees what a large event has taken, once it was returned. */
  private void trim() {
    if (buffered.capacity() > INITIAL_BYTES && buffered.readableBytes() <= INITIAL_BYTES) {
      buffered.capacity(INITIAL_BYTES);
    }
  }

  /** Returns the memory that is taken for bytes that were not returned. */
  long heldBytes() {
    return buffered.isReadable() ? buffered.capacity() : 0;
  }

  /** Returns whether a partial event is buffered; lines without a field alone are none. */
  boolean hasPartialEvent() {
    boolean inLine = lineStart < buffered.writerIndex();
    return hasField || inLine;
  }

  /** Returns the buffered lines without a field; the caller must release them. */
  ByteBuf takeRest() {
    ByteBuf rest = buffered.readBytes(buffered.readableBytes());
    lineStart = buffered.readerIndex();
    searched = lineStart;
    return rest;
  }

  /** Returns whether the partial event exceeds the size limit. */
  boolean overflowed() {
    return buffered.readableBytes() > MAX_EVENT_BYTES;
  }

  void release() {
    buffered.release();
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
