package org.guavagw.internal.load;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A block that entered or left the prefix cache of a backend server. Immutable.
 *
 * @param seq counts the events of one backend server; a jump means that events are missing
 * @param kind {@code stored} or {@code evicted}
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CacheEvent(long seq, String kind, String prefixHash) {}
