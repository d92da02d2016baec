package org.guavagw.gateway.spi;

/**
 * A row of a table at one version.
 *
 * @param value encoded row; must not be modified
 * @param removed whether the row was deleted at this version
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredRow(String key, byte[] value, long version, boolean removed) {}
