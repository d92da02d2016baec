package org.guavagw.gateway.internal.control;

import com.google.common.base.Ticker;
import java.time.Duration;

/**
 * Decides whether a registration that disappears now may have lapsed with the store although its
 * backend server lives.
 *
 * <p>Invariant: lapses are expected until a fixed time after the store is back. Reports that repeat
 * that it was away do not extend this time, whoever makes them. Confined to the control thread.
 */
final class LapseExpectation {
  /**
   * Backend servers whose registration lapsed during a store outage register again within two
   * seconds of its end; those still missing after this time are gone.
   */
  static final Duration GRACE = Duration.ofMillis(2200);

  private final Ticker ticker;
  private boolean storeFailing;
  private boolean graceStarted;
  private long graceEndNanos;
  private boolean hubExpects;

  /** Creates an expectation of no lapses. */
  LapseExpectation(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Records that calls to the store fail. */
  void onStoreLost() {
    storeFailing = true;
  }

  /**
   * Records that calls to the store succeed again.
   *
   * @param stillFailing whether calls for other tables still fail
   */
  void onStoreRecovered(boolean stillFailing) {
    storeFailing = stillFailing;
    startGrace();
  }

  /** Records that the store was restored from a copy, which may lack registrations. */
  void onStoreRestored() {
    startGrace();
  }

  /**
   * Records what an answer of the hub says; returns whether lapses are expected anew.
   *
   * @param expected whether the hub expects lapses
   * @param afterGap whether this entry's own tables had not been confirmed for so long that the
   *     store may have been away; otherwise only the hub had lost it
   */
  boolean onHubAnswer(boolean expected, boolean afterGap) {
    boolean begins = expected && !hubExpects && afterGap;
    if (begins) {
      startGrace();
    }
    hubExpects = expected;
    return begins;
  }

  private void startGrace() {
    graceStarted = true;
    graceEndNanos = ticker.read() + GRACE.toNanos();
  }

  /** Returns whether a registration that disappears now may have lapsed. */
  boolean isActive() {
    return storeFailing || (graceStarted && graceEndNanos - ticker.read() > 0);
  }
}
