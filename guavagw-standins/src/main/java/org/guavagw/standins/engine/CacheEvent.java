package org.guavagw.standins.engine;

/** A block that entered or left the prefix cache. Immutable. */
record CacheEvent(long seq, Kind kind, String prefixHash) {
  /** What happened to the block; the names are those on the wire. */
  enum Kind {
    stored,
    evicted
  }
}
