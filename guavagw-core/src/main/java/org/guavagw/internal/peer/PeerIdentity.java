package org.guavagw.internal.peer;

/**
 * Who an entry is. Immutable.
 *
 * @param incarnation rises with every start of an entry of the same id
 */
public record PeerIdentity(String memberId, long incarnation) {}
