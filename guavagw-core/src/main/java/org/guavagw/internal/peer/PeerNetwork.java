package org.guavagw.internal.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends typed messages between entries. Thread-safe; no call blocks.
 *
 * <p>Invariants: an answer reaches only the request that it answers; a message is delivered at most
 * once and may be lost; handlers run on the executor that the network was made with, so that
 * control state behind them needs no locks.
 */
public interface PeerNetwork extends AutoCloseable {
  /** Who this entry is. */
  PeerIdentity self();

  /** Sends a message that wants no answer; a right value means queued, not delivered. */
  Either<PeerFailure, Void> send(String memberId, PeerMessage message);

  /** Sends a request; the future fails with {@link PeerException} when no answer comes. */
  CompletableFuture<PeerMessage> request(String memberId, PeerMessage message, Duration timeout);

  /** Sets the handler of a type of message. */
  <M extends PeerMessage> void onMessage(Class<M> type, PeerMessageHandler<M> handler);

  /** Sets the handler of a type of request. */
  <M extends PeerMessage> void onRequest(Class<M> type, PeerRequestHandler<M> handler);

  /** Drops every connection to and from a peer, so that the next message opens a fresh one. */
  void disconnect(String memberId);

  @Override
  void close();
}
