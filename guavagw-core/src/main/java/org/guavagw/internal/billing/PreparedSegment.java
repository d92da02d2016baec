package org.guavagw.internal.billing;

/**
 * A segment with its final content. Whoever writes it, and however often, the journal gets it once,
 * because number and content never change. Immutable; the array must not be changed.
 */
public record PreparedSegment(JournalId journal, long number, byte[] content) {}
