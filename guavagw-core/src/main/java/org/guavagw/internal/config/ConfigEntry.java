package org.guavagw.internal.config;

/** One revision as the history lists it. Immutable. */
public record ConfigEntry(
    long revision, String changeId, String author, String comment, long acceptedAtMs) {}
