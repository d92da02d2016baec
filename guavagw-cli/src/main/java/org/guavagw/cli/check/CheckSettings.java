package org.guavagw.cli.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.internal.entry.EntryHooks;

/**
 * One checked run. Immutable.
 *
 * @param callers how many requests are under way at once
 * @param faults how many faults strike
 * @param hooks mechanisms that are wrapped
 * @param script names of the faults that strike, in order; empty to draw them by the seed
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
