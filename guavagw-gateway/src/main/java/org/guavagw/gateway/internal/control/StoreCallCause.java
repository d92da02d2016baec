package org.guavagw.gateway.internal.control;

/** Why the store is called. */
public enum StoreCallCause {
  /** The first read of a whole table in a process. */
  START,
  /** A read of a whole table because the store was restored or has dropped its history. */
  RELOAD,
  /** A call that waits for changes. */
  POLL,
  /** A call for the changes so far, after a gap or in place of a call that may be lost. */
  CATCH_UP,
  /** A read or a poll after one that failed. */
  RETRY,
  /** A write of a row. */
  WRITE
}
