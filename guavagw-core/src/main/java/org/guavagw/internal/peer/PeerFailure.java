package org.guavagw.internal.peer;

/** Why a message to a peer was not delivered or not answered. */
public enum PeerFailure {
  /** No address of the member is known; nothing was sent. */
  UNKNOWN_MEMBER,
  /** Too much waits for this peer; nothing was sent. */
  QUEUE_FULL,
  /** The message is larger than a frame may be; nothing was sent. */
  TOO_LARGE,
  /** No connection could be made or the peer is another than expected; nothing was sent. */
  UNREACHABLE,
  /** The connection broke before the answer came; the peer may have acted. */
  CONNECTION_LOST,
  /** No answer came in time; the peer may have acted. */
  TIMEOUT,
  /** The peer has no handler for the message, or its handler failed. */
  NOT_HANDLED,
  /** This network is closed; nothing was sent. */
  CLOSED
}
