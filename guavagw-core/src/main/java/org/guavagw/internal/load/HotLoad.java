package org.guavagw.internal.load;

/**
 * The part of a report that changes often, as this entry holds it. Immutable.
 *
 * @param sequence orders the reports on one backend server, whichever entry polled it
 * @param observedAtNs when it was polled, by this entry's monotonic clock
 */
record HotLoad(
    int serverHash, long sequence, boolean cold, int running, int waiting, long observedAtNs) {
  private static final int TOLERANCE_PARTS = 8;

  /** Whether the numbers moved far enough to tell others. */
  boolean differsNotably(HotLoad other, int slots) {
    int tolerance = Math.max(1, slots / TOLERANCE_PARTS);
    return cold != other.cold
        || (waiting == 0) != (other.waiting == 0)
        || Math.abs(running - other.running) > tolerance
        || Math.abs(waiting - other.waiting) > Math.max(tolerance, other.waiting / 2);
  }
}
