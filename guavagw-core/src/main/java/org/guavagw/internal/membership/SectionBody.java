package org.guavagw.internal.membership;

/** What one section puts into a heartbeat. Immutable; the array must not be changed. */
public record SectionBody(int code, byte[] body) {}
