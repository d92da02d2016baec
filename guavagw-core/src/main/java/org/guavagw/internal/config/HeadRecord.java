package org.guavagw.internal.config;

/**
 * The row that every accepted change replaces. Immutable.
 *
 * @param checkpoint newest revision that is stored in full
 * @param checkpointChunks rows over which that revision is spread
 */
record HeadRecord(long revision, long checkpoint, int checkpointChunks) {
  static final HeadRecord NONE = new HeadRecord(0, 0, 0);

  HeadRecord at(long next) {
    return new HeadRecord(next, checkpoint, checkpointChunks);
  }
}
