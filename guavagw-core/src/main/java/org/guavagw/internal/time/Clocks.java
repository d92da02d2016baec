package org.guavagw.internal.time;

import com.google.common.base.Ticker;
import java.time.InstantSource;

/**
 * The two clocks of a process: wall time for logs and stored records, monotonic time for deadlines
 * and leases. Tests pass their own clocks. Immutable.
 */
public record Clocks(InstantSource wall, Ticker monotonic) {
  /** Returns the system clocks. */
  public static Clocks system() {
    return new Clocks(InstantSource.system(), Ticker.systemTicker());
  }
}
