package org.guavagw.internal.engine;

/**
 * What a backend server says of itself in the headers of each answer. Immutable.
 *
 * @param bootId changes when the backend server restarts; empty when it does not say
 * @param cold whether it is in cold start
 */
public record EngineHello(String bootId, boolean cold, int running, int waiting, int slots) {}
