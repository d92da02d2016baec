package org.guavagw.internal.session;

/** Identifies a session of a team with a model. Immutable. */
public record SessionKey(String team, String sessionId, String model) {}
