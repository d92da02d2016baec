package org.guavagw.cli.local;

/** A chat completion as a caller asks for it. Immutable. */
public record ChatCall(
    String team, String model, String prompt, int maxTokens, boolean stream, String sessionId) {}
