package org.guavagw.internal.config;

/** Metadata of one revision, as listed in the history. Immutable. */
public record RevisionInfo(
    long revision, String changeId, String author, String comment, long acceptedAtMs) {}
