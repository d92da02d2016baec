package org.guavagw.internal.rollout;

import java.util.List;
import java.util.function.UnaryOperator;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;

/**
 * Computes the configuration that results from a rollout action. Stateless and thread-safe.
 *
 * <p>Invariant: an action on a rollout or version that does not exist changes nothing.
 */
public final class RolloutActionTransformer {
  private RolloutActionTransformer() {}

  /** Returns the configuration after the action. */
  public static GatewayConfig apply(GatewayConfig config, RolloutAction action) {
    if (action instanceof RolloutAction.EnterStage a) {
      return withRollout(config, a.rolloutId(), r -> with(r, a.stage(), r.state()));
    }
    if (action instanceof RolloutAction.Hold a) {
      return withRollout(config, a.rolloutId(), r -> with(r, r.stage(), RolloutState.HELD));
    }
    if (action instanceof RolloutAction.Abort a) {
      return abort(config, a.rolloutId());
    }
    if (action instanceof RolloutAction.Finish a) {
      return finish(config, a.rolloutId());
    }
    if (action instanceof RolloutAction.Withdraw a) {
      GatewayConfig withdrawn = withState(config, a.version(), VersionState.WITHDRAWN);
      return withState(withdrawn, a.successor(), VersionState.SERVING);
    }
    throw new IllegalArgumentException("unknown rollout action: " + action);
  }

  private static GatewayConfig abort(GatewayConfig config, String rolloutId) {
    return config.rollouts().stream()
        .filter(r -> r.id().equals(rolloutId))
        .findFirst()
        .map(r -> withState(config, targetOf(r), VersionState.WITHDRAWN))
        .map(c -> withRollout(c, rolloutId, r -> with(r, r.stage(), RolloutState.ABORTED)))
        .orElse(config);
  }

  private static GatewayConfig finish(GatewayConfig config, String rolloutId) {
    return config.rollouts().stream()
        .filter(r -> r.id().equals(rolloutId))
        .findFirst()
        .map(r -> withState(config, targetOf(r), VersionState.SERVING))
        .map(c -> withRollout(c, rolloutId, r -> with(r, r.stage(), RolloutState.DONE)))
        .orElse(config);
  }

  private static VersionRef targetOf(RolloutConfig rollout) {
    return new VersionRef(rollout.model(), rollout.toVersion());
  }

  private static RolloutConfig with(RolloutConfig r, int stage, RolloutState state) {
    return new RolloutConfig(
        r.id(), r.model(), r.fromVersion(), r.toVersion(), r.stagesPercent(), stage, state);
  }

  private static GatewayConfig withRollout(
      GatewayConfig config, String id, UnaryOperator<RolloutConfig> change) {
    List<RolloutConfig> rollouts =
        config.rollouts().stream().map(r -> r.id().equals(id) ? change.apply(r) : r).toList();
    return with(config, config.models(), rollouts);
  }

  private static GatewayConfig withState(
      GatewayConfig config, VersionRef version, VersionState state) {
    List<ModelConfig> models =
        config.models().stream()
            .map(m -> m.id().equals(version.model()) ? with(m, version.version(), state) : m)
            .toList();
    return with(config, models, config.rollouts());
  }

  private static ModelConfig with(ModelConfig model, String version, VersionState state) {
    List<VersionConfig> versions =
        model.versions().stream()
            .map(v -> v.id().equals(version) ? new VersionConfig(version, state) : v)
            .toList();
    return new ModelConfig(model.id(), versions, model.price());
  }

  private static GatewayConfig with(
      GatewayConfig c, List<ModelConfig> models, List<RolloutConfig> rollouts) {
    return new GatewayConfig(
        c.dataCentres(),
        models,
        c.backendServers(),
        c.plainServices(),
        c.cascades(),
        c.teams(),
        rollouts);
  }
}
