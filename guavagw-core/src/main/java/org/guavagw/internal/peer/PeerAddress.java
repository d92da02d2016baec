package org.guavagw.internal.peer;

/** Where an entry listens for its peers. Immutable. */
public record PeerAddress(String host, int port) {}
