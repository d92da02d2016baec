package org.guavagw.gateway.spi;

/**
 * The version of a row that a write requires. Immutable.
 *
 * @param version 0 if the row must not exist
 */
public record RowVersion(String table, String key, long version) {}
