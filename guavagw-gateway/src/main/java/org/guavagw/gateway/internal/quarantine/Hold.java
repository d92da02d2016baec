package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;

/**
 * The time for which one prompt part is held.
 *
 * <p>Invariant: the time between tests doubles when a server ended after one, up to {@link
 * RequestQuarantine#MAX_HOLD}. Not thread-safe.
 */
final class Hold {
  private Duration length = RequestQuarantine.FIRST_HOLD;
  private long testNanos;
  private boolean tested;

  Hold(long nowNanos) {
    testNanos = nowNanos + length.toNanos();
  }

  /** Returns the time from which a test may be sent. */
  long testNanos() {
    return testNanos;
  }

  /** Records that a test is sent now. */
  void onTested(long nowNanos) {
    tested = true;
    testNanos = nowNanos + length.toNanos();
  }

  /**
   * Records that another server ended under the part: requests that were already there when the
   * hold began, or the test of this entry or another one.
   */
  void onServerEnded(long nowNanos) {
    boolean afterTest = tested || testNanos - nowNanos <= 0;
    if (afterTest && length.compareTo(RequestQuarantine.MAX_HOLD) < 0) {
      length = length.multipliedBy(2);
    }
    tested = false;
    testNanos = nowNanos + length.toNanos();
  }
}
