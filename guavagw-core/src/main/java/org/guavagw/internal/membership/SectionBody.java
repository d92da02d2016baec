package org.guavagw.internal.membership;

/** Encoded content of one section of a heartbeat. Immutable; the array must not be changed. */
public record SectionBody(int code, byte[] body) {}
