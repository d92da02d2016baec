package org.guavagw.gateway.internal.peers;

import org.guavagw.internal.peer.PeerMessage;

/** Asks an entry for the configuration that it has in force. Immutable. */
public record ConfigQuery(long versionInForce) implements PeerMessage {}
