package org.guavagw.internal.session;

/** One session of a team with one model. Immutable. */
public record SessionKey(String team, String sessionId, String model) {}
