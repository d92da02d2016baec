package org.guavagw.config;

import static org.guavagw.config.GatewayConfigs.append;

/** Builder of a {@link GatewayConfig}. Immutable: each call returns a new draft. */
public record GatewayDraft(GatewayConfig build) {
  /** Adds a data centre. */
  public GatewayDraft with(DataCentreDraft part) {
    return new GatewayDraft(
        new GatewayConfig(
            append(build.dataCentres(), part.build()),
            build.models(),
            build.backendServers(),
            build.plainServices(),
            build.cascades(),
            build.teams(),
            build.rollouts()));
  }

  /** Adds a model. */
  public GatewayDraft with(ModelDraft part) {
    return new GatewayDraft(
        new GatewayConfig(
            build.dataCentres(),
            append(build.models(), part.build()),
            build.backendServers(),
            build.plainServices(),
            build.cascades(),
            build.teams(),
            build.rollouts()));
  }

  /** Adds a backend server. */
  public GatewayDraft with(BackendServerDraft part) {
    return new GatewayDraft(
        new GatewayConfig(
            build.dataCentres(),
            build.models(),
            append(build.backendServers(), part.build()),
            build.plainServices(),
            build.cascades(),
            build.teams(),
            build.rollouts()));
  }

  /** Adds a plain service. */
  public GatewayDraft with(PlainServiceDraft part) {
    return new GatewayDraft(
        new GatewayConfig(
            build.dataCentres(),
            build.models(),
            build.backendServers(),
            append(build.plainServices(), part.build()),
            build.cascades(),
            build.teams(),
            build.rollouts()));
  }

  /** Adds a cascade. */
  public GatewayDraft with(CascadeDraft part) {
    return new GatewayDraft(
        new GatewayConfig(
            build.dataCentres(),
            build.models(),
            build.backendServers(),
            build.plainServices(),
            append(build.cascades(), part.build()),
            build.teams(),
            build.rollouts()));
  }

  /** Adds a team. */
  public GatewayDraft with(TeamDraft part) {
    return new GatewayDraft(
        new GatewayConfig(
            build.dataCentres(),
            build.models(),
            build.backendServers(),
            build.plainServices(),
            build.cascades(),
            append(build.teams(), part.build()),
            build.rollouts()));
  }

  /** Adds a rollout or replaces the one with the same id. */
  public GatewayDraft with(RolloutDraft part) {
    return new GatewayDraft(ConfigEdits.putRollout(build, part.build()));
  }
}
