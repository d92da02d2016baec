package org.guavagw.internal.load;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Addition or eviction of a block in the prefix cache of a backend server. Immutable.
 *
 * @param seq number of the event of this backend server; a gap means that events are missing
 * @param kind {@code stored} or {@code evicted}
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CacheEvent(long seq, String kind, String prefixHash) {}
