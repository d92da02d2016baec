package org.guavagw.internal.rollout;

import io.vavr.control.Either;
import java.util.Optional;
import org.guavagw.config.ConfigEdits;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;
import org.guavagw.internal.config.ConfigChange;
import org.guavagw.internal.config.ConfigFailure;
import org.guavagw.internal.config.ConfigHistory;
import org.guavagw.internal.config.RevisionedConfig;

/**
 * Carries out rollout actions as changes in the configuration history.
 *
 * <p>Invariant: an action is applied only to the revision that it was decided on, so a controller
 * that was paused while another one acted changes nothing. Thread-safe.
 */
public final class HistoryActionExecutor implements RolloutActionExecutor {
  private static final String AUTHOR = "rollout-controller";

  private final ConfigHistory history;

  /** Creates an executor that writes to the given history. */
  public HistoryActionExecutor(ConfigHistory history) {
    this.history = history;
  }

  @Override
  public Either<RolloutActionFailure, Long> apply(
      RolloutAction action, long expectedRevision, long fencingNumber) {
    Either<ConfigFailure, RevisionedConfig> latest = history.latest();
    if (latest.isLeft()) {
      return Either.left(failure(latest.getLeft()));
    }
    if (latest.get().revision() != expectedRevision) {
      return Either.left(new RolloutActionFailure.RevisionMoved(latest.get().revision()));
    }
    GatewayConfig changed = edit(latest.get().config(), action);
    String changeId = AUTHOR + '/' + fencingNumber + '/' + expectedRevision;
    return history
        .apply(new ConfigChange(changeId, AUTHOR, action.toString(), expectedRevision, changed))
        .bimap(HistoryActionExecutor::failure, RevisionedConfig::revision);
  }

  private static GatewayConfig edit(GatewayConfig config, RolloutAction action) {
    if (action instanceof RolloutAction.EnterStage enter) {
      return ConfigEdits.moveRollout(
          config, enter.rolloutId(), enter.stage(), RolloutState.RUNNING);
    }
    if (action instanceof RolloutAction.Hold hold) {
      return setState(config, hold.rolloutId(), RolloutState.HELD);
    }
    if (action instanceof RolloutAction.Finish finish) {
      return finish(config, finish.rolloutId());
    }
    if (action instanceof RolloutAction.Abort abort) {
      return abort(config, abort.rolloutId());
    }
    RolloutAction.Withdraw withdraw = (RolloutAction.Withdraw) action;
    GatewayConfig replaced =
        ConfigEdits.setVersionState(config, withdraw.successor(), VersionState.SERVING);
    return ConfigEdits.setVersionState(replaced, withdraw.version(), VersionState.WITHDRAWN);
  }

  private static GatewayConfig finish(GatewayConfig config, String id) {
    return find(config, id)
        .map(r -> new VersionRef(r.model(), r.toVersion()))
        .map(ref -> ConfigEdits.setVersionState(config, ref, VersionState.SERVING))
        .map(changed -> setState(changed, id, RolloutState.DONE))
        .orElse(config);
  }

  private static GatewayConfig abort(GatewayConfig config, String id) {
    return find(config, id)
        .map(r -> new VersionRef(r.model(), r.toVersion()))
        .map(ref -> ConfigEdits.setVersionState(config, ref, VersionState.WITHDRAWN))
        .map(changed -> setState(changed, id, RolloutState.ABORTED))
        .orElse(config);
  }

  private static GatewayConfig setState(GatewayConfig config, String id, RolloutState state) {
    return find(config, id)
        .map(r -> ConfigEdits.moveRollout(config, id, r.stage(), state))
        .orElse(config);
  }

  private static Optional<RolloutConfig> find(GatewayConfig config, String id) {
    return config.rollouts().stream().filter(r -> r.id().equals(id)).findFirst();
  }

  private static RolloutActionFailure failure(ConfigFailure failure) {
    if (failure instanceof ConfigFailure.Conflict conflict) {
      return new RolloutActionFailure.RevisionMoved(conflict.currentRevision());
    }
    if (failure instanceof ConfigFailure.OutcomeUnknown unknown) {
      return new RolloutActionFailure.OutcomeUnknown(unknown.changeId());
    }
    return new RolloutActionFailure.StoreUnavailable(failure.toString());
  }
}
