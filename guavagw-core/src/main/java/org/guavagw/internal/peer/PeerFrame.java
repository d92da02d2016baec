package org.guavagw.internal.peer;

/**
 * One frame of the protocol between entries. Immutable; the array must not be modified.
 *
 * @param id correlation id of requests and answers, incarnation in a handshake, otherwise 0
 * @param name registered name of the message, member id in a handshake, otherwise empty
 */
record PeerFrame(Kind kind, long id, String name, byte[] body) {
  private static final byte[] EMPTY = {};

  /** The purpose of a frame. The order is part of the protocol. */
  enum Kind {
    CHALLENGE,
    HELLO,
    WELCOME,
    PING,
    PONG,
    MESSAGE,
    REQUEST,
    ANSWER,
    REFUSAL
  }

  static PeerFrame ping() {
    return new PeerFrame(Kind.PING, 0, "", EMPTY);
  }

  static PeerFrame pong() {
    return new PeerFrame(Kind.PONG, 0, "", EMPTY);
  }

  static PeerFrame refusal(long id) {
    return new PeerFrame(Kind.REFUSAL, id, "", EMPTY);
  }
}
