package org.guavagw.cli.check;

import java.util.List;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.Violation;

/** Result of one check run. Immutable. */
public record CheckResult(
    long seed, List<String> faults, History history, List<Violation> violations) {
  public CheckResult {
    faults = List.copyOf(faults);
    violations = List.copyOf(violations);
  }
}
