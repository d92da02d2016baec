package org.guavagw.internal.membership;

/**
 * Identifies one direction of heartbeats between this entry and a peer. Immutable.
 *
 * @param initiator true if this entry sends the heartbeats and the peer answers them
 */
public record GossipLink(String peerId, boolean initiator) {}
