package org.guavagw.internal.peer;

/**
 * Identity of one run of an entry. Immutable.
 *
 * @param incarnation increases with every start of the entry with this id
 */
public record PeerIdentity(String memberId, long incarnation) {}
