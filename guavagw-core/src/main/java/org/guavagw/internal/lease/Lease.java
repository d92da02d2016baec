package org.guavagw.internal.lease;

/** A hold on a name that at most one process has at a time. Thread-safe. */
public interface Lease {
  /** The name that is held. */
  String name();

  /** A number that rises with every holder of the name. */
  long fencingNumber();

  /**
   * Whether the hold certainly lasts, by the monotonic clock and with a safety margin. Ask right
   * before each effect that needs the hold.
   */
  boolean isSafe();
}
