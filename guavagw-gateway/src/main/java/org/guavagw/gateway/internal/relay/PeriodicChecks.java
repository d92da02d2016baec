package org.guavagw.gateway.internal.relay;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
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
   * Runs all checks. A check may add others, which are run the next time. One that fails is run
   * again, too.
   *
   * @param readUntilNanos what came after this monotonic time may not have been read yet
   * @throws RuntimeException that of the first check that failed, once all have been run
   */
  void run(long readUntilNanos) {
    Optional<RuntimeException> firstFailure = Optional.empty();
    for (Check check : List.copyOf(checks)) {
      try {
        if (!check.isNeededAgain(readUntilNanos)) {
          checks.remove(check);
        }
      } catch (RuntimeException e) {
        firstFailure = firstFailure.or(() -> Optional.of(e));
      }
    }
    firstFailure.ifPresent(
        e -> {
          throw e;
        });
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
