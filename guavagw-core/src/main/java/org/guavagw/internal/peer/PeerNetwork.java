package org.guavagw.internal.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends typed messages between entries. Thread-safe; no call blocks.
 *
 * <p>Invariants: an answer reaches only the request that it answers; a message is delivered at most
 * once and may be lost; handlers run on the executor passed to the network, so that the control
 * state that they use needs no locks.
 */
public interface PeerNetwork extends AutoCloseable {
  /** Returns the identity of this entry. */
  PeerIdentity self();

  /** Sends a one-way message; a right value means that it is queued, not that it is delivered. */
  Either<PeerFailure, Void> send(String memberId, PeerMessage message);

  /** Sends a request; the future fails with {@link PeerException} if no answer arrives. */
  CompletableFuture<PeerMessage> request(String memberId, PeerMessage message, Duration timeout);

  /** Sets the handler for a message type. */
  <M extends PeerMessage> void onMessage(Class<M> type, PeerMessageHandler<M> handler);

  /** Sets the handler for a request type. */
  <M extends PeerMessage> void onRequest(Class<M> type, PeerRequestHandler<M> handler);

  /** Closes all connections to and from a peer; the next message opens a new one. */
  void disconnect(String memberId);

  @Override
  void close();
}
