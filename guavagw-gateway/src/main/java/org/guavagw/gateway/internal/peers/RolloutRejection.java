package org.guavagw.gateway.internal.peers;

import org.guavagw.internal.peer.PeerMessage;

/**
 * Tells that a rollout's version was found bad. Immutable.
 *
 * @param revision tells repeated orders apart
 */
public record RolloutRejection(String service, long revision) implements PeerMessage {}
