package org.guavagw.cli.local;

/** Parameters of a chat completion request. Immutable. */
public record ChatCall(
    String team, String model, String prompt, int maxTokens, boolean stream, String sessionId) {}
