package org.guavagw.internal.load;

/**
 * The part of a load report that changes often, as held by this entry. Immutable.
 *
 * @param sequence number that orders the reports of a backend server, whichever entry polled it
 * @param observedAtNs time of the poll on this entry's monotonic clock
 */
record CurrentLoad(
    int serverHash, long sequence, boolean cold, int running, int waiting, long observedAtNs) {
  private static final int TOLERANCE_DIVISOR = 8;

  /** Returns whether the load changed enough to be sent to other entries. */
  boolean differsSignificantly(CurrentLoad other, int slots) {
    int tolerance = Math.max(1, slots / TOLERANCE_DIVISOR);
    return cold != other.cold
        || (waiting == 0) != (other.waiting == 0)
        || Math.abs(running - other.running) > tolerance
        || Math.abs(waiting - other.waiting) > Math.max(tolerance, other.waiting / 2);
  }
}
