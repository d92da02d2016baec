package org.guavagw.config;

/** One version of a model and its state. Immutable. */
public record VersionConfig(String id, VersionState state) {}
