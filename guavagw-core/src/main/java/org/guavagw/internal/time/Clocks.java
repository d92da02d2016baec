package org.guavagw.internal.time;

import com.google.common.base.Ticker;
import java.time.InstantSource;

/**
 * The two clocks of a process: wall time for people and records, monotonic time for deadlines and
 * leases. Immutable; tests pass their own.
 */
public record Clocks(InstantSource wall, Ticker monotonic) {
  /** The clocks of the machine. */
  public static Clocks system() {
    return new Clocks(InstantSource.system(), Ticker.systemTicker());
  }
}
