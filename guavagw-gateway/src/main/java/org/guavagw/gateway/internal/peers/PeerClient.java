package org.guavagw.gateway.internal.peers;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.guavagw.internal.peer.PeerMessage;

/** Sends requests to other entries. Thread-safe. */
@FunctionalInterface
public interface PeerClient {
  /** Sends a request to an entry. The future fails if no answer arrives within the timeout. */
  CompletableFuture<PeerMessage> request(String entry, PeerMessage message, Duration timeout);
}
