package org.guavagw.internal.billing;

/**
 * A segment with its final content. Number and content never change, so the journal contains the
 * segment once even if several entries write it repeatedly. Immutable; the array must not be
 * changed.
 */
public record PreparedSegment(JournalId journal, long number, byte[] content) {}
