package org.guavagw.internal.peer;

/**
 * Binds a record to the name under which it travels. Immutable.
 *
 * @param name short and stable, as it is part of every frame
 */
public record PeerMessageType<M extends PeerMessage>(String name, Class<M> messageClass) {}
