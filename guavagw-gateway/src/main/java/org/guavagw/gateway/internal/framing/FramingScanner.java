package org.guavagw.gateway.internal.framing;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.Optional;
import org.guavagw.RefusalCode;

/**
 * Follows the bytes of the messages on one connection and stops at the first that readers could
 * take in different ways: line ends other than CR LF, folded lines, control characters, an
 * uncertain end, chunk sizes with anything but digits.
 *
 * <p>Invariant: bytes that it has accepted are whole messages in order, and the beginning of one
 * more. Not thread-safe.
 */
final class FramingScanner {
  /** A longer line is too large for the decoder behind, whatever its limit. */
  private static final int MAX_LINE_BYTES = 128 * 1024;

  private static final int MAX_CHUNK_SIZE_DIGITS = 15;

  /** Bytes that are kept for a line between messages. */
  private static final int MIN_LINE_CAPACITY = 512;

  /**
   * Header and trailer fields of one message. Each takes far more memory than its bytes; clients
   * and servers send some dozens.
   */
  static final int MAX_FIELDS = 256;

  /** Memory that a decoded field takes beside its characters, and a head for each of its bytes. */
  private static final int FIELD_OVERHEAD_BYTES = 128;

  private static final int BYTES_PER_HEAD_BYTE = 2;

  private HeadRules rules;
  private State state = State.START_LINE;
  private FieldLines fields = new FieldLines();
  private byte[] line = new byte[MIN_LINE_CAPACITY];
  private int lineLength;
  private int blankLines;
  private int headBytes;
  private int fieldCount;
  private long bodyLeft;
  private FramingFault fault;

  /** What the next byte belongs to. */
  private enum State {
    START_LINE(true),
    HEADER_LINE(true),
    BODY(false),
    CHUNK_SIZE_LINE(true),
    CHUNK(false),
    CHUNK_END_LINE(true),
    TRAILER_LINE(true),
    UNTIL_CLOSE(false),
    COMPLETE(false);

    private final boolean line;

    State(boolean line) {
      this.line = line;
    }

    boolean isLine() {
      return line;
    }

    boolean hasFields() {
      return this == START_LINE || this == HEADER_LINE || this == TRAILER_LINE;
    }
  }

  FramingScanner(HeadRules rules) {
    this.rules = rules;
  }

  /** Expects the next message; requires that the one before is complete or that none has begun. */
  void expect(HeadRules nextRules) {
    rules = nextRules;
    state = State.START_LINE;
    fields = new FieldLines();
    freeLine();
    blankLines = 0;
    headBytes = 0;
    fieldCount = 0;
  }

  /** Frees the memory of a long line, which must not be read further. */
  void freeLine() {
    lineLength = 0;
    if (line.length > MIN_LINE_CAPACITY) {
      line = new byte[MIN_LINE_CAPACITY];
    }
  }

  /** Returns the memory that the head and the trailers of the message take so far once decoded. */
  long decodedBytes() {
    return (long) BYTES_PER_HEAD_BYTE * headBytes + (long) FIELD_OVERHEAD_BYTES * fieldCount;
  }

  /** Returns the memory that a long line and fields take whose head or trailers are incomplete. */
  long incompleteBytes() {
    int longLine = line.length - MIN_LINE_CAPACITY;
    return state.hasFields() ? longLine + decodedBytes() : longLine;
  }

  /** Returns whether a message is complete and the next one is not expected yet. */
  boolean isComplete() {
    return state == State.COMPLETE;
  }

  /** Returns whether the message that has begun ends with its connection. */
  boolean endsWithConnection() {
    return state == State.UNTIL_CLOSE;
  }

  /** Returns what is wrong with the byte at which the scanner has stopped, if it has. */
  Optional<FramingFault> fault() {
    return Optional.ofNullable(fault);
  }

  /**
   * Takes bytes up to the end of a message.
   *
   * @return the index after the last byte that was taken
   */
  int take(ByteBuf bytes, int from) {
    int index = from;
    int end = bytes.writerIndex();
    while (index < end && fault == null && state != State.COMPLETE) {
      index = state.isLine() ? takeLine(bytes, index, end) : takeBody(index, end);
    }
    return index;
  }

  private int takeBody(int index, int end) {
    if (state == State.UNTIL_CLOSE) {
      return end;
    }
    long taken = Math.min(bodyLeft, end - index);
    bodyLeft -= taken;
    if (bodyLeft == 0) {
      state = state == State.CHUNK ? State.CHUNK_END_LINE : State.COMPLETE;
    }
    return index + (int) taken;
  }

  private int takeLine(ByteBuf bytes, int index, int end) {
    int newline = bytes.indexOf(index, end, (byte) '\n');
    int lineEnd = newline < 0 ? end : newline + 1;
    if (state.hasFields()) {
      headBytes += lineEnd - index;
    }
    append(bytes, index, lineEnd - index);
    if (newline >= 0 && fault == null) {
      onLine();
    }
    return lineEnd;
  }

  private void append(ByteBuf bytes, int index, int count) {
    int needed = lineLength + count;
    if (needed > MAX_LINE_BYTES) {
      fail("a line is too long");
      return;
    }
    if (needed > line.length) {
      line = Arrays.copyOf(line, Math.max(needed, 2 * line.length));
    }
    bytes.getBytes(index, line, lineLength, count);
    lineLength = needed;
  }

  private void onLine() {
    int length = lineLength - 2;
    lineLength = 0;
    if (length < 0 || line[length] != '\r') {
      fail("a line does not end with CR LF");
      return;
    }
    for (int i = 0; i < length; i++) {
      if (line[i] == '\r') {
        fail("a line has a CR in it");
        return;
      }
    }
    switch (state) {
      case START_LINE -> onStartLine(length);
      case HEADER_LINE -> onHeaderLine(length);
      case CHUNK_SIZE_LINE -> onChunkSize(length);
      case CHUNK_END_LINE -> onChunkEnd(length);
      case TRAILER_LINE -> onTrailer(length);
      default -> throw new IllegalStateException("no line in state " + state);
    }
  }

  private void onStartLine(int length) {
    if (length == 0) {
      blankLines++;
      if (blankLines > rules.maxBlankLines()) {
        fail("blank lines before the start line");
      }
      return;
    }
    fields = new FieldLines();
    fields.start(line, length).ifPresent(this::fail);
    state = State.HEADER_LINE;
  }

  private void onHeaderLine(int length) {
    if (length > 0) {
      countField();
      fields.add(line, length).ifPresent(this::fail);
      return;
    }
    rules.read(fields.toHead()).peek(this::onBody).peekLeft(f -> fault = f);
  }

  private void onBody(BodyEnd end) {
    freeLine();
    if (end.kind() == BodyEnd.Kind.INTERIM) {
      headBytes = 0;
    }
    bodyLeft = end.length();
    state =
        switch (end.kind()) {
          case LENGTH -> bodyLeft == 0 ? State.COMPLETE : State.BODY;
          case CHUNKS -> State.CHUNK_SIZE_LINE;
          case CONNECTION -> State.UNTIL_CLOSE;
          case INTERIM -> State.START_LINE;
        };
  }

  private void onChunkSize(int length) {
    int digits = 0;
    long size = 0;
    while (digits < length && Character.digit(line[digits], 16) >= 0) {
      size = size * 16 + Character.digit(line[digits], 16);
      digits++;
      if (digits > MAX_CHUNK_SIZE_DIGITS) {
        fail("a chunk is too large");
        return;
      }
    }
    if (digits == 0 || (digits < length && line[digits] != ';')) {
      fail("the size of a chunk is not valid");
      return;
    }
    bodyLeft = size;
    state = size == 0 ? State.TRAILER_LINE : State.CHUNK;
  }

  private void onChunkEnd(int length) {
    if (length > 0) {
      fail("a chunk is longer than its size");
      return;
    }
    state = State.CHUNK_SIZE_LINE;
  }

  private void onTrailer(int length) {
    if (length == 0) {
      freeLine();
      state = State.COMPLETE;
      return;
    }
    countField();
    new FieldLines().add(line, length).ifPresent(this::fail);
  }

  private void countField() {
    fieldCount++;
    if (fieldCount > MAX_FIELDS) {
      fault =
          new FramingFault(
              RefusalCode.REQUEST_TOO_LARGE, "more than " + MAX_FIELDS + " header fields");
    }
  }

  private void fail(String reason) {
    if (fault == null) {
      fault = FramingFault.malformed(reason);
    }
  }
}
