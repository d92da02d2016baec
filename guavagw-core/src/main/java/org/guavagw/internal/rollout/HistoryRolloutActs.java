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
 * Carries out acts as changes in the configuration history.
 *
 * <p>Invariant: an act changes exactly the revision it was decided on, so a controller that was
 * paused while another one acted changes nothing. Thread-safe.
 */
public final class HistoryRolloutActs implements RolloutActs {
  private static final String AUTHOR = "rollout-controller";

  private final ConfigHistory history;

  /** Acts on a history. */
  public HistoryRolloutActs(ConfigHistory history) {
    this.history = history;
  }

  @Override
  public Either<ActFailure, Long> apply(RolloutAct act, long expectedRevision, long fencingNumber) {
    Either<ConfigFailure, RevisionedConfig> latest = history.latest();
    if (latest.isLeft()) {
      return Either.left(failure(latest.getLeft()));
    }
    if (latest.get().revision() != expectedRevision) {
      return Either.left(new ActFailure.RevisionMoved(latest.get().revision()));
    }
    GatewayConfig changed = edit(latest.get().config(), act);
    String changeId = AUTHOR + '/' + fencingNumber + '/' + expectedRevision;
    return history
        .apply(new ConfigChange(changeId, AUTHOR, act.toString(), expectedRevision, changed))
        .bimap(HistoryRolloutActs::failure, RevisionedConfig::revision);
  }

  private static GatewayConfig edit(GatewayConfig config, RolloutAct act) {
    if (act instanceof RolloutAct.EnterStage enter) {
      return ConfigEdits.moveRollout(
          config, enter.rolloutId(), enter.stage(), RolloutState.RUNNING);
    }
    if (act instanceof RolloutAct.Hold hold) {
      return setState(config, hold.rolloutId(), RolloutState.HELD);
    }
    if (act instanceof RolloutAct.Finish finish) {
      return finish(config, finish.rolloutId());
    }
    if (act instanceof RolloutAct.Abort abort) {
      return abort(config, abort.rolloutId());
    }
    RolloutAct.Withdraw withdraw = (RolloutAct.Withdraw) act;
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

  private static ActFailure failure(ConfigFailure failure) {
    if (failure instanceof ConfigFailure.Conflict conflict) {
      return new ActFailure.RevisionMoved(conflict.currentRevision());
    }
    if (failure instanceof ConfigFailure.OutcomeUnknown unknown) {
      return new ActFailure.OutcomeUnknown(unknown.changeId());
    }
    return new ActFailure.StoreUnavailable(failure.toString());
  }
}
