package org.guavagw.internal.peer;

/** Handles one-way messages of one type. Called on the network's executor. */
@FunctionalInterface
public interface PeerMessageHandler<M extends PeerMessage> {
  /** Handles one message; must not block. */
  void handle(PeerIdentity from, M message);
}
