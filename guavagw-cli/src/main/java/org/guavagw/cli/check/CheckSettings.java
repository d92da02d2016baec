package org.guavagw.cli.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.internal.entry.EntryHooks;

/**
 * Settings of one check run. Immutable.
 *
 * @param callers number of concurrent callers
 * @param faults number of faults to inject
 * @param hooks wrappers of the mechanisms of the entries
 * @param script names of the faults to inject, in order; empty to draw them by the seed
 */
public record CheckSettings(
    DeploymentPlan plan,
    long seed,
    Duration length,
    int callers,
    int faults,
    EntryHooks hooks,
    List<String> script) {
  public CheckSettings {
    script = List.copyOf(script);
  }
}
