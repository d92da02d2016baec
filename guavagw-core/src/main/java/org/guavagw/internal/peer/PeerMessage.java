package org.guavagw.internal.peer;

/**
 * A message between entries: a record that {@link PeerMessageRegistry} knows by name. Each package
 * that talks to peers declares a sealed interface of its own below this one. Implementations are
 * immutable.
 */
public interface PeerMessage {}
