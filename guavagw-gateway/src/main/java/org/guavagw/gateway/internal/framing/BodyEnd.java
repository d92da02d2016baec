package org.guavagw.gateway.internal.framing;

/**
 * Where the body after a head ends. Immutable.
 *
 * @param length bytes of the body if its length is stated, else 0
 */
record BodyEnd(Kind kind, long length) {
  /** There is no body; the message ends with its head. */
  static final BodyEnd NONE = new BodyEnd(Kind.LENGTH, 0);

  /** There is no body, and the head of the final answer follows. */
  static final BodyEnd INTERIM = new BodyEnd(Kind.INTERIM, 0);

  static final BodyEnd CHUNKS = new BodyEnd(Kind.CHUNKS, 0);

  /** The body ends with the connection. */
  static final BodyEnd CONNECTION = new BodyEnd(Kind.CONNECTION, 0);

  /** The ways in which the end is marked. */
  enum Kind {
    LENGTH,
    CHUNKS,
    CONNECTION,
    INTERIM
  }

  static BodyEnd after(long length) {
    return new BodyEnd(Kind.LENGTH, length);
  }
}
