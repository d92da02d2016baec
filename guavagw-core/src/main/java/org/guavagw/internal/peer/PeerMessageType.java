package org.guavagw.internal.peer;

/**
 * Maps a record class to its name on the wire. Immutable.
 *
 * @param name short and stable, because every frame contains it
 */
public record PeerMessageType<M extends PeerMessage>(String name, Class<M> messageClass) {}
