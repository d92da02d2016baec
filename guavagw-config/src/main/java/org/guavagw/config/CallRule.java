package org.guavagw.config;

/**
 * Whether calls with a method and a path prefix may be retried. Immutable.
 *
 * @param repeatable whether a second execution is harmless
 */
public record CallRule(String method, String pathPrefix, boolean repeatable) {}
