package org.guavagw.internal.peer;

/** Takes messages of one type that want no answer. Called on the network's executor. */
@FunctionalInterface
public interface PeerMessageHandler<M extends PeerMessage> {
  /** Takes one message; must not block. */
  void handle(PeerIdentity from, M message);
}
