package org.guavagw.internal.config;

/**
 * Content of the head row, which every accepted change replaces. Immutable.
 *
 * @param checkpoint newest revision that is stored as a full configuration
 * @param checkpointChunks number of rows that hold the checkpoint
 */
record HeadRecord(long revision, long checkpoint, int checkpointChunks) {
  static final HeadRecord NONE = new HeadRecord(0, 0, 0);

  HeadRecord withRevision(long next) {
    return new HeadRecord(next, checkpoint, checkpointChunks);
  }
}
