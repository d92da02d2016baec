package org.guavagw.platform;

/**
 * A row as it was read. The array must not be modified.
 *
 * @param version number that increases with each write of the row
 */
@SuppressWarnings("ArrayRecordComponent")
public record Row(RowKey key, long version, byte[] value) {}
