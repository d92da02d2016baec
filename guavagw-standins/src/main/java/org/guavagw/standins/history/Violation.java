package org.guavagw.standins.history;

/** An event that violates an invariant. Immutable. */
public record Violation(Invariant invariant, TimedEvent<?> event, String reason) {}
