package org.guavagw.standins.engine;

/** Event of a block that was stored in the prefix cache or evicted from it. Immutable. */
record CacheEvent(long seq, Kind kind, String prefixHash) {
  /** What happened to the block; the names are written to JSON. */
  enum Kind {
    stored,
    evicted
  }
}
