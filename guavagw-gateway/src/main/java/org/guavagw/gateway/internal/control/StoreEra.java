package org.guavagw.gateway.internal.control;

import java.util.function.LongConsumer;

/**
 * The newest era of the store that any answer stated. Confined to the control thread.
 *
 * <p>Invariant: never decreases; answers of earlier eras, which arrive late, are recognized by it.
 */
final class StoreEra {
  private final LongConsumer onRise;
  private boolean known;
  private long current;

  /**
   * Creates an unknown era.
   *
   * @param onRise receives the previous era after a rise, but not for the first era that is seen
   */
  StoreEra(LongConsumer onRise) {
    this.onRise = onRise;
  }

  /** Returns the newest era; 0 if none was seen. */
  long current() {
    return current;
  }

  /** Takes note of the era of an answer; returns whether the answer is of the newest era. */
  boolean observe(long era) {
    if (!known) {
      known = true;
      current = era;
      return true;
    }
    if (era > current) {
      long previous = current;
      current = era;
      onRise.accept(previous);
    }
    return era == current;
  }
}
