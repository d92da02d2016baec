package org.guavagw.platform;

/** Address of a row in the table service. Immutable. */
public record RowKey(String table, String key) {}
