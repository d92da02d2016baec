package org.guavagw.internal.rollout;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.lease.Lease;
import org.guavagw.internal.lease.LeaseFailure;
import org.guavagw.internal.lease.LeaseService;

/**
 * Drives rollouts and withdraws versions that turned bad, one pass at a time.
 *
 * <p>Invariants: it acts only under a safe lease; each act carries the revision that it was decided
 * on and the lease's fencing number; at most one act changes a given revision, and a pass ends at
 * the first act that fails. All state between passes may be lost. Not thread-safe; passes run on
 * the control thread.
 */
public final class RolloutController {
  /** Name of the lease on rollouts. */
  public static final String LEASE_NAME = "rollouts";

  private static final Duration STALL_LIMIT = Duration.ofHours(1);

  private final ConfigSource configs;
  private final LeaseService leases;
  private final RolloutMonitor monitor;
  private final RolloutActs acts;
  private final Ticker ticker;
  private final Map<StageKey, Long> stageSince = new HashMap<>();

  /** Controls the rollouts of the given configuration by the monitor's verdicts. */
  public RolloutController(
      ConfigSource configs,
      LeaseService leases,
      RolloutMonitor monitor,
      RolloutActs acts,
      Ticker ticker) {
    this.configs = configs;
    this.leases = leases;
    this.monitor = monitor;
    this.acts = acts;
    this.ticker = ticker;
  }

  /** Runs one pass and says what it did. */
  public List<PassEvent> runOnce() {
    Either<LeaseFailure, Lease> lease = leases.acquire(LEASE_NAME);
    if (lease.isLeft()) {
      return List.of(new PassEvent.NotInControl(lease.getLeft()));
    }
    RevisionedConfig seen = configs.current();
    List<PassEvent> events = new ArrayList<>();
    List<RolloutAct> wanted = new ArrayList<>();
    wanted.addAll(rolloutActs(seen.config(), events));
    wanted.addAll(servingActs(seen.config(), events));
    apply(wanted, seen.revision(), lease.get(), events);
    return events;
  }

  private void apply(List<RolloutAct> wanted, long revision, Lease lease, List<PassEvent> events) {
    long expected = revision;
    for (RolloutAct act : wanted) {
      if (!lease.isSafe()) {
        events.add(new PassEvent.LostControl());
        return;
      }
      Either<ActFailure, Long> done = acts.apply(act, expected, lease.fencingNumber());
      if (done.isLeft()) {
        events.add(new PassEvent.ActFailed(act, done.getLeft()));
        return;
      }
      expected = done.get();
      events.add(new PassEvent.Acted(act, expected));
    }
  }

  private List<RolloutAct> rolloutActs(GatewayConfig config, List<PassEvent> events) {
    List<RolloutAct> wanted = new ArrayList<>();
    for (RolloutConfig rollout : config.rollouts()) {
      if (isOpen(rollout)) {
        actFor(config, rollout).ifPresentOrElse(wanted::add, () -> reportStall(rollout, events));
      }
    }
    return wanted;
  }

  private Optional<RolloutAct> actFor(GatewayConfig config, RolloutConfig rollout) {
    VersionRef target = new VersionRef(rollout.model(), rollout.toVersion());
    RolloutVerdict verdict = monitor.assess(rollout);
    if (config.versionState(target).orElse(VersionState.WITHDRAWN) == VersionState.WITHDRAWN) {
      return Optional.of(new RolloutAct.Abort(rollout.id(), Optional.empty()));
    }
    if (verdict instanceof RolloutVerdict.Withdraw w) {
      return Optional.of(new RolloutAct.Abort(rollout.id(), Optional.of(w.finding())));
    }
    if (rollout.state() == RolloutState.HELD) {
      return Optional.empty();
    }
    if (verdict instanceof RolloutVerdict.Hold h) {
      return Optional.of(new RolloutAct.Hold(rollout.id(), h.finding()));
    }
    return verdict instanceof RolloutVerdict.Advance
        ? Optional.of(advance(rollout))
        : Optional.empty();
  }

  private static RolloutAct advance(RolloutConfig rollout) {
    int next = rollout.stage() + 1;
    return next < rollout.stagesPercent().size()
        ? new RolloutAct.EnterStage(rollout.id(), next)
        : new RolloutAct.Finish(rollout.id());
  }

  private List<RolloutAct> servingActs(GatewayConfig config, List<PassEvent> events) {
    Map<VersionRef, Finding> worst = new HashMap<>();
    for (ServingFinding found : monitor.assessServing()) {
      if (found.finding().signal() != Signal.LATENCY) {
        worst.merge(found.version(), found.finding(), RolloutController::stronger);
      }
    }
    List<RolloutAct> wanted = new ArrayList<>();
    worst.forEach(
        (version, finding) -> {
          if (isServing(config, version)) {
            Successors.of(config, version)
                .ifPresentOrElse(
                    s -> wanted.add(new RolloutAct.Withdraw(version, s, finding)),
                    () -> events.add(new PassEvent.NoSuccessor(version, finding)));
          }
        });
    return wanted;
  }

  private static Finding stronger(Finding a, Finding b) {
    return a.logEvidence() >= b.logEvidence() ? a : b;
  }

  private static boolean isServing(GatewayConfig config, VersionRef version) {
    return config.versionState(version).orElse(VersionState.WITHDRAWN) == VersionState.SERVING;
  }

  private static boolean isOpen(RolloutConfig rollout) {
    return rollout.state() == RolloutState.RUNNING || rollout.state() == RolloutState.HELD;
  }

  private void reportStall(RolloutConfig rollout, List<PassEvent> events) {
    long now = ticker.read();
    StageKey key = new StageKey(rollout.id(), rollout.stage());
    Duration since = Duration.ofNanos(now - stageSince.computeIfAbsent(key, k -> now));
    if (since.compareTo(STALL_LIMIT) >= 0) {
      events.add(new PassEvent.Stalled(rollout.id(), rollout.stage(), since));
    }
  }

  /** A stage of a rollout. Immutable. */
  private record StageKey(String rolloutId, int stage) {}
}
