package org.guavagw.internal.membership;

/**
 * One direction of heartbeats between this entry and a peer. Immutable.
 *
 * @param initiator whether this entry sends the heartbeats and the peer answers them
 */
public record GossipLink(String peerId, boolean initiator) {}
