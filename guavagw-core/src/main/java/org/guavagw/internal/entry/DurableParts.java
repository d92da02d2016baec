package org.guavagw.internal.entry;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.function.IntSupplier;
import org.guavagw.EntrySettings;
import org.guavagw.config.BudgetConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.billing.BillBook;
import org.guavagw.internal.billing.BillSettings;
import org.guavagw.internal.billing.JournalId;
import org.guavagw.internal.budget.BudgetGate;
import org.guavagw.internal.budget.BudgetSettings;
import org.guavagw.internal.budget.SlicedBudgetGate;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.control.ControlPlane;
import org.guavagw.internal.explain.DecisionLog;
import org.guavagw.internal.explain.DecisionLogSettings;
import org.guavagw.internal.lease.LeaseHolder;
import org.guavagw.internal.lease.LeaseTerms;
import org.guavagw.internal.lease.TableLeaseService;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.once.OnceRegistry;
import org.guavagw.internal.once.OnceSettings;
import org.guavagw.internal.once.TableOnceRegistry;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.Platform;

/** What an entry keeps through the platform: bills, budgets, claims, leases, decision records. */
record DurableParts(
    BillBook bills,
    BudgetGate budgets,
    OnceRegistry once,
    TableLeaseService leases,
    DecisionLog decisions) {

  /** Starts all parts; the closer stops them. */
  static DurableParts start(
      EntrySettings settings,
      long incarnation,
      Platform platform,
      ControlPlane control,
      ScheduledExecutorService background,
      Clocks clocks,
      Closer closer) {
    ConfigSource configs = control.configs();
    IntSupplier members = () -> Math.max(1, control.membership().members().size());
    DecisionLog decisions =
        closer.register(
            new DecisionLog(
                settings.entryId(),
                platform.objects(),
                clocks.wall(),
                DecisionLogSettings.standard()));
    ScheduledFuture<?> flushing = decisions.flushOn(background);
    closer.register(() -> flushing.cancel(false));
    TableLeaseService leases =
        closer.register(
            new TableLeaseService(
                platform.table(),
                new LeaseHolder(settings.entryId(), incarnation),
                LeaseTerms.standard(),
                clocks.monotonic()));
    ScheduledFuture<?> renewing = leases.renewOn(background);
    closer.register(() -> renewing.cancel(false));
    BudgetGate budgets =
        closer.register(
            new SlicedBudgetGate(
                platform.table(),
                settings.entryId() + '/' + incarnation,
                team -> budgetOf(configs, team),
                members,
                BudgetSettings.standard(),
                clocks,
                background));
    BillBook bills =
        closer.register(
            new BillBook(
                platform.table(),
                new JournalId(settings.entryId(), incarnation, 0),
                BillSettings.standard(),
                members,
                clocks));
    bills.start();
    OnceRegistry once =
        new TableOnceRegistry(
            platform.table(),
            platform.objects(),
            entry -> control.membership().member(entry).isEmpty(),
            OnceSettings.standard(),
            clocks.wall());
    return new DurableParts(bills, budgets, once, leases, decisions);
  }

  private static long budgetOf(ConfigSource configs, String team) {
    return configs
        .current()
        .config()
        .team(team)
        .map(TeamConfig::budget)
        .map(BudgetConfig::microsPerDay)
        .orElse(0L);
  }
}
