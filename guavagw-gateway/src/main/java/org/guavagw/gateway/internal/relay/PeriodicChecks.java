package org.guavagw.gateway.internal.relay;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks that are all run by one periodic task, so that many attempts in flight wake the event loop
 * no more often than one. Not thread-safe.
 */
final class PeriodicChecks {
  private final Set<Check> checks = new LinkedHashSet<>();

  /** Adds a check that is run with the next one of the periodic task. */
  void add(Check check) {
    checks.add(check);
  }

  /**
   * Runs all checks. A check may add others, which are run the next time.
   *
   * @param readUntilNanos what came after this monotonic time may not have been read yet
   */
  void run(long readUntilNanos) {
    List<Check> due = List.copyOf(checks);
    due.stream().filter(check -> !check.isNeededAgain(readUntilNanos)).forEach(checks::remove);
  }

  /** Something that is checked until it is over. */
  @FunctionalInterface
  interface Check {
    /**
     * Checks now and returns whether to check again.
     *
     * @param readUntilNanos what came after this monotonic time may not have been read yet
     */
    boolean isNeededAgain(long readUntilNanos);
  }
}
