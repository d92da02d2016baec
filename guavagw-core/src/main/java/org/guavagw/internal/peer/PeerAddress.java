package org.guavagw.internal.peer;

/** The address at which an entry listens for its peers. Immutable. */
public record PeerAddress(String host, int port) {}
