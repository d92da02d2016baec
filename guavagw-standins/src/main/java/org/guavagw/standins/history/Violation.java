package org.guavagw.standins.history;

/** An event that breaks a promise. Immutable. */
public record Violation(Promise promise, Timed<?> event, String reason) {}
