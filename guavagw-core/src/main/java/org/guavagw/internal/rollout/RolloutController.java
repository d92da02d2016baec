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
 * Advances, holds and ends rollouts and withdraws serving versions that have become worse, one pass
 * at a time.
 *
 * <p>Invariants: it acts only while its lease is safe; each action carries the revision that it was
 * decided on and the lease's fencing number; a revision is changed by at most one action, and a
 * pass ends at the first action that fails. It keeps no state between passes that must survive a
 * restart. Not thread-safe; passes run on the control thread.
 */
public final class RolloutController {
  /** Name of the lease that a controller must hold to act on rollouts. */
  public static final String LEASE_NAME = "rollouts";

  private static final Duration STALL_LIMIT = Duration.ofHours(1);

  private final ConfigSource configs;
  private final LeaseService leases;
  private final RolloutMonitor monitor;
  private final RolloutActionExecutor executor;
  private final Ticker ticker;
  private final Map<StageKey, Long> stageFirstSeen = new HashMap<>();

  /** Creates a controller that acts on the monitor's verdicts. */
  public RolloutController(
      ConfigSource configs,
      LeaseService leases,
      RolloutMonitor monitor,
      RolloutActionExecutor executor,
      Ticker ticker) {
    this.configs = configs;
    this.leases = leases;
    this.monitor = monitor;
    this.executor = executor;
    this.ticker = ticker;
  }

  /** Runs one pass and returns its events. */
  public List<RolloutControllerEvent> runOnce() {
    Either<LeaseFailure, Lease> lease = leases.acquire(LEASE_NAME);
    if (lease.isLeft()) {
      return List.of(new RolloutControllerEvent.NotInControl(lease.getLeft()));
    }
    RevisionedConfig current = configs.current();
    List<RolloutControllerEvent> events = new ArrayList<>();
    List<RolloutAction> actions = new ArrayList<>();
    actions.addAll(rolloutActions(current.config(), events));
    actions.addAll(withdrawals(current.config(), events));
    apply(actions, current.revision(), lease.get(), events);
    return events;
  }

  private void apply(
      List<RolloutAction> actions,
      long revision,
      Lease lease,
      List<RolloutControllerEvent> events) {
    long expected = revision;
    for (RolloutAction action : actions) {
      if (!lease.isSafe()) {
        events.add(new RolloutControllerEvent.LostControl());
        return;
      }
      Either<RolloutActionFailure, Long> result =
          executor.apply(action, expected, lease.fencingNumber());
      if (result.isLeft()) {
        events.add(new RolloutControllerEvent.ActFailed(action, result.getLeft()));
        return;
      }
      expected = result.get();
      events.add(new RolloutControllerEvent.Acted(action, expected));
    }
  }

  private List<RolloutAction> rolloutActions(
      GatewayConfig config, List<RolloutControllerEvent> events) {
    List<RolloutAction> actions = new ArrayList<>();
    for (RolloutConfig rollout : config.rollouts()) {
      if (isActive(rollout)) {
        actionFor(config, rollout)
            .ifPresentOrElse(actions::add, () -> reportStall(rollout, events));
      }
    }
    return actions;
  }

  private Optional<RolloutAction> actionFor(GatewayConfig config, RolloutConfig rollout) {
    VersionRef target = new VersionRef(rollout.model(), rollout.toVersion());
    RolloutVerdict verdict = monitor.assess(rollout);
    if (config.versionState(target).orElse(VersionState.WITHDRAWN) == VersionState.WITHDRAWN) {
      return Optional.of(new RolloutAction.Abort(rollout.id(), Optional.empty()));
    }
    if (verdict instanceof RolloutVerdict.Withdraw w) {
      return Optional.of(new RolloutAction.Abort(rollout.id(), Optional.of(w.finding())));
    }
    if (rollout.state() == RolloutState.HELD) {
      return Optional.empty();
    }
    if (verdict instanceof RolloutVerdict.Hold h) {
      return Optional.of(new RolloutAction.Hold(rollout.id(), h.finding()));
    }
    return verdict instanceof RolloutVerdict.Advance
        ? Optional.of(advance(rollout))
        : Optional.empty();
  }

  private static RolloutAction advance(RolloutConfig rollout) {
    int next = rollout.stage() + 1;
    return next < rollout.stagesPercent().size()
        ? new RolloutAction.EnterStage(rollout.id(), next)
        : new RolloutAction.Finish(rollout.id());
  }

  private List<RolloutAction> withdrawals(
      GatewayConfig config, List<RolloutControllerEvent> events) {
    Map<VersionRef, Finding> strongest = new HashMap<>();
    for (ServingFinding found : monitor.assessServing()) {
      if (found.finding().signal() != Signal.LATENCY) {
        strongest.merge(found.version(), found.finding(), RolloutController::stronger);
      }
    }
    List<RolloutAction> actions = new ArrayList<>();
    strongest.forEach(
        (version, finding) -> {
          if (isServing(config, version)) {
            SuccessorSelector.successorOf(config, version)
                .ifPresentOrElse(
                    s -> actions.add(new RolloutAction.Withdraw(version, s, finding)),
                    () -> events.add(new RolloutControllerEvent.NoSuccessor(version, finding)));
          }
        });
    return actions;
  }

  private static Finding stronger(Finding a, Finding b) {
    return a.logEvidence() >= b.logEvidence() ? a : b;
  }

  private static boolean isServing(GatewayConfig config, VersionRef version) {
    return config.versionState(version).orElse(VersionState.WITHDRAWN) == VersionState.SERVING;
  }

  private static boolean isActive(RolloutConfig rollout) {
    return rollout.state() == RolloutState.RUNNING || rollout.state() == RolloutState.HELD;
  }

  private void reportStall(RolloutConfig rollout, List<RolloutControllerEvent> events) {
    long now = ticker.read();
    StageKey key = new StageKey(rollout.id(), rollout.stage());
    Duration since = Duration.ofNanos(now - stageFirstSeen.computeIfAbsent(key, k -> now));
    if (since.compareTo(STALL_LIMIT) >= 0) {
      events.add(new RolloutControllerEvent.Stalled(rollout.id(), rollout.stage(), since));
    }
  }

  /** A stage of a rollout. Immutable. */
  private record StageKey(String rolloutId, int stage) {}
}
