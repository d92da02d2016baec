package org.guavagw.internal.peer;

import java.util.concurrent.CompletionStage;

/** Answers requests of one type. Called on the network's executor; must not block. */
@FunctionalInterface
public interface PeerRequestHandler<M extends PeerMessage> {
  /** Returns the answer; the requester waits for it until its timeout. */
  CompletionStage<? extends PeerMessage> handle(PeerIdentity from, M request);
}
