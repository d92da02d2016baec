package org.guavagw.internal.engine;

/**
 * The state that a backend server reports in the headers of each answer. Immutable.
 *
 * @param bootId changes when the backend server restarts; empty if not reported
 * @param cold whether the backend server is in cold start
 */
public record EngineStatus(String bootId, boolean cold, int running, int waiting, int slots) {}
