package org.guavagw.gateway.spi;

/** A part of a prompt that other requests may share. Immutable. */
public record PromptPart(String id, int tokens) {}
