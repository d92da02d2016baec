package org.guavagw.standins.history;

/** An event that breaks a invariant. Immutable. */
public record Violation(Invariant invariant, TimedEvent<?> event, String reason) {}
