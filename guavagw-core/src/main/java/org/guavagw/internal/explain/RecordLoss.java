package org.guavagw.internal.explain;

/** States that an entry dropped records of requests made in a span of time. Immutable. */
record RecordLoss(long fromMs, long toMs, long count, String reason) {
  boolean covers(long timeMs) {
    return fromMs <= timeMs && timeMs <= toMs;
  }
}
