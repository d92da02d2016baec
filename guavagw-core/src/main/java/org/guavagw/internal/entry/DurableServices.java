package org.guavagw.internal.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.guavagw.EntrySettings;
import org.guavagw.config.BudgetConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.billing.BillRecorder;
import org.guavagw.internal.billing.BillSettings;
import org.guavagw.internal.billing.BillSweeper;
import org.guavagw.internal.billing.JournalId;
import org.guavagw.internal.billing.UnknownOutcomeCharge;
import org.guavagw.internal.budget.BudgetLimiter;
import org.guavagw.internal.budget.BudgetSettings;
import org.guavagw.internal.budget.SlicedBudgetLimiter;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.control.ControlPlane;
import org.guavagw.internal.explain.DecisionLog;
import org.guavagw.internal.explain.DecisionLogSettings;
import org.guavagw.internal.lease.LeaseHolder;
import org.guavagw.internal.lease.LeaseService;
import org.guavagw.internal.lease.LeaseSettings;
import org.guavagw.internal.lease.TableLeaseService;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.RendezvousHashing;
import org.guavagw.internal.once.ClaimPurger;
import org.guavagw.internal.once.IdempotencyRegistry;
import org.guavagw.internal.once.IdempotencySettings;
import org.guavagw.internal.once.RetryingIdempotencyRegistry;
import org.guavagw.internal.once.TableIdempotencyRegistry;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.Platform;

/** Services that keep state on the platform: bills, budgets, claims, leases, decision records. */
record DurableServices(
    BillRecorder bills,
    BudgetLimiter budgets,
    IdempotencyRegistry once,
    TableLeaseService leases,
    DecisionLog decisions) {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String SWEEP_TASK = "bill-sweeper";
  private static final Duration CLAIM_RETENTION = Duration.ofDays(7);
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(2);
  private static final Duration SWEEP_DELAY = Duration.ofSeconds(5);

  /** Starts all services; the closer stops them. */
  static DurableServices start(
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
    ScheduledFuture<?> flushing = decisions.scheduleFlushes(background);
    closer.register(() -> flushing.cancel(false));
    TableLeaseService leases =
        closer.register(
            new TableLeaseService(
                platform.table(),
                new LeaseHolder(settings.entryId(), incarnation),
                LeaseSettings.standard(),
                clocks.monotonic()));
    ScheduledFuture<?> renewing = leases.scheduleRenewals(background);
    closer.register(() -> renewing.cancel(false));
    BudgetLimiter budgets =
        closer.register(
            new SlicedBudgetLimiter(
                platform.table(),
                settings.entryId() + '/' + incarnation,
                team -> budgetOf(configs, team),
                members,
                BudgetSettings.standard(),
                clocks,
                background));
    BillRecorder bills =
        closer.register(
            new BillRecorder(
                platform.table(),
                new JournalId(settings.entryId(), incarnation, 0),
                BillSettings.standard(),
                members,
                clocks));
    bills.start();
    startBillSweeper(platform, control, leases, background, clocks, closer);
    IdempotencyRegistry once =
        startIdempotencyRegistry(platform, control, leases, background, clocks, closer);
    return new DurableServices(bills, budgets, once, leases, decisions);
  }

  private static IdempotencyRegistry startIdempotencyRegistry(
      Platform platform,
      ControlPlane control,
      LeaseService leases,
      ScheduledExecutorService background,
      Clocks clocks,
      Closer closer) {
    TableIdempotencyRegistry table =
        new TableIdempotencyRegistry(
            platform.table(),
            platform.objects(),
            entry -> control.membership().member(entry).isEmpty(),
            IdempotencySettings.standard(),
            clocks.wall());
    RetryingIdempotencyRegistry registry = new RetryingIdempotencyRegistry(table, clocks);
    ScheduledFuture<?> retrying = registry.scheduleRetries(background);
    closer.register(() -> retrying.cancel(false));
    ClaimPurger purger = new ClaimPurger(platform.table(), leases, CLAIM_RETENTION, clocks.wall());
    ScheduledFuture<?> purging = purger.schedulePurges(background);
    closer.register(() -> purging.cancel(false));
    return registry;
  }

  private static void startBillSweeper(
      Platform platform,
      ControlPlane control,
      TableLeaseService leases,
      ScheduledExecutorService background,
      Clocks clocks,
      Closer closer) {
    BillSweeper sweeper =
        new BillSweeper(
            platform.table(),
            leases,
            (entry, incarnation) -> hasEnded(control, entry, incarnation),
            UnknownOutcomeCharge.INPUT_ONLY,
            SWEEP_DELAY,
            clocks.monotonic());
    long periodMs = SWEEP_INTERVAL.toMillis();
    ScheduledFuture<?> sweeping =
        background.scheduleWithFixedDelay(
            () -> sweepIfAssigned(control, sweeper), periodMs, periodMs, TimeUnit.MILLISECONDS);
    closer.register(() -> sweeping.cancel(false));
  }

  private static void sweepIfAssigned(ControlPlane control, BillSweeper sweeper) {
    List<String> alive =
        control.membership().members().stream().filter(Member::isAlive).map(Member::id).toList();
    String self = control.membership().self().id();
    if (RendezvousHashing.pick(SWEEP_TASK, alive, 1).contains(self)) {
      sweeper
          .sweep()
          .peekLeft(
              f ->
                  logger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log("bill sweep failed: %s", f));
    }
  }

  private static boolean hasEnded(ControlPlane control, String entry, long incarnation) {
    Optional<Member> member = control.membership().member(entry);
    return member.isEmpty() || member.get().incarnation() > incarnation;
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
