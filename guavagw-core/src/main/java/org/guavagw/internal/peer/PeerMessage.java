package org.guavagw.internal.peer;

/**
 * A message between entries: a record registered by name with {@link PeerMessageRegistry}. Each
 * package that sends messages to peers extends this interface with its own sealed interface.
 * Implementations are immutable.
 */
public interface PeerMessage {}
