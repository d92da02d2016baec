package org.guavagw.gateway.internal.peers;

import org.guavagw.internal.peer.PeerMessage;

/**
 * The work of all entries except the receiver, sent by the hub of its data centre. Immutable.
 *
 * <p>The receiver uses it in its own decisions and never passes it on.
 */
public record WorkSummary(ServerWork work) implements PeerMessage {}
