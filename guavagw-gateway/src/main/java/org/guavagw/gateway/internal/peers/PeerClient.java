package org.guavagw.gateway.internal.peers;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.guavagw.internal.peer.PeerMessage;

/** Asks other entries. Thread-safe. */
@FunctionalInterface
public interface PeerClient {
  /** Sends a request to an entry; the future fails if no answer comes in time. */
  CompletableFuture<PeerMessage> request(String entry, PeerMessage message, Duration timeout);
}
