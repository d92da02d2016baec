package org.guavagw.gateway.internal.rollout;

/**
 * Requests whose answers take about as long on the same version, so that their times are
 * comparable. Immutable.
 *
 * @param name route, and model if there are several
 * @param readsPrompt whether the time until an answer begins includes reading a prompt
 */
public record WorkKind(String name, boolean readsPrompt) {}
