package org.guavagw.internal.peer;

/** Why a message to a peer was not delivered or not answered. */
public enum PeerFailure {
  /** No address of the member is known; nothing was sent. */
  UNKNOWN_MEMBER,
  /** The send queue to this peer is full; nothing was sent. */
  QUEUE_FULL,
  /** The message exceeds the maximum frame size; nothing was sent. */
  TOO_LARGE,
  /** No connection could be opened, or the other end is not the expected peer; nothing was sent. */
  UNREACHABLE,
  /** The connection was lost before the answer arrived; the peer may have handled the request. */
  CONNECTION_LOST,
  /** No answer arrived in time; the peer may have handled the request. */
  TIMEOUT,
  /** The peer has no handler for the message, or its handler failed. */
  NOT_HANDLED,
  /** The network of this entry is closed; nothing was sent. */
  CLOSED
}
