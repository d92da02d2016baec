package org.guavagw.cli.bench.policy;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.guavagw.config.GatewayConfig;
import org.guavagw.internal.config.ConfigHolder;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.lease.Lease;
import org.guavagw.internal.lease.LeaseFailure;
import org.guavagw.internal.lease.LeaseService;
import org.guavagw.internal.rollout.RolloutAction;
import org.guavagw.internal.rollout.RolloutActionExecutor;
import org.guavagw.internal.rollout.RolloutActionFailure;
import org.guavagw.internal.rollout.RolloutActionTransformer;

/**
 * Holds the configuration of a simulation and applies rollout actions immediately. Actions must
 * expect the newest revision. Not thread-safe.
 */
final class SimulatedControlPlane implements RolloutActionExecutor, LeaseService {
  private final ConfigHolder holder = new ConfigHolder();
  private final List<RolloutAction> appliedActions = new ArrayList<>();

  SimulatedControlPlane(GatewayConfig config) {
    holder.adopt(new RevisionedConfig(1, config));
  }

  ConfigHolder holder() {
    return holder;
  }

  GatewayConfig config() {
    return holder.current().config();
  }

  List<RolloutAction> appliedActions() {
    return appliedActions;
  }

  void apply(RolloutAction action) {
    apply(action, holder.current().revision(), 1);
  }

  @Override
  public Either<RolloutActionFailure, Long> apply(
      RolloutAction action, long expectedRevision, long fencingNumber) {
    RevisionedConfig current = holder.current();
    if (current.revision() != expectedRevision) {
      return Either.left(new RolloutActionFailure.RevisionMoved(current.revision()));
    }
    appliedActions.add(action);
    long next = expectedRevision + 1;
    holder.adopt(
        new RevisionedConfig(next, RolloutActionTransformer.apply(current.config(), action)));
    return Either.right(next);
  }

  @Override
  public Either<LeaseFailure, Lease> acquire(String name) {
    return Either.right(new PermanentLease(name));
  }

  @Override
  public Optional<Lease> held(String name) {
    return Optional.of(new PermanentLease(name));
  }

  @Override
  public void release(String name) {
    // The lease is held until the end of the run.
  }

  @Override
  public void close() {
    // No resources to release.
  }

  /** A lease that never expires. Immutable. */
  private record PermanentLease(String name) implements Lease {
    @Override
    public long fencingNumber() {
      return 1;
    }

    @Override
    public boolean isSafe() {
      return true;
    }
  }
}
