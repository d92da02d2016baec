package org.guavagw.internal.lease;

/** A lease on a name, held by at most one process at a time. Thread-safe. */
public interface Lease {
  /** Returns the name that the lease is on. */
  String name();

  /** Returns the fencing number, which increases with every holder of the name. */
  long fencingNumber();

  /**
   * Returns whether the lease is certainly still held, by the monotonic clock and with a safety
   * margin. Must be checked directly before each action that requires the lease.
   */
  boolean isSafe();
}
