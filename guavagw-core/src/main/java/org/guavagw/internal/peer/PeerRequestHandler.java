package org.guavagw.internal.peer;

import java.util.concurrent.CompletionStage;

/** Answers requests of one type. Called on the executor of the network; must not block. */
@FunctionalInterface
public interface PeerRequestHandler<M extends PeerMessage> {
  /** The answer, now or later; the requester waits until its timeout. */
  CompletionStage<? extends PeerMessage> handle(PeerIdentity from, M request);
}
