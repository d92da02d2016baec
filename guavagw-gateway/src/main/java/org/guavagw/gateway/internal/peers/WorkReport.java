package org.guavagw.gateway.internal.peers;

import org.guavagw.internal.peer.PeerMessage;

/**
 * The in-flight requests and the pending prefill of one entry, the sender. Immutable.
 *
 * <p>Never contains work that other entries reported.
 */
public record WorkReport(ServerWork work) implements PeerMessage {}
