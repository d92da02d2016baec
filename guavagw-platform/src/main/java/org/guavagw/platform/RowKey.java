package org.guavagw.platform;

/** Table and key that identify a row. Immutable. */
public record RowKey(String table, String key) {}
