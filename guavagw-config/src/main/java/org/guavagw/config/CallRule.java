package org.guavagw.config;

/**
 * Says whether calls of one method below one path may be repeated. Immutable.
 *
 * @param repeatable whether a second execution does no harm
 */
public record CallRule(String method, String pathPrefix, boolean repeatable) {}
