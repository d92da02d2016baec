package org.guavagw.config;

import java.util.List;
import java.util.Optional;

/** The complete configuration. Immutable; the order within lists has no meaning. */
public record GatewayConfig(
    List<DataCentreConfig> dataCentres,
    List<ModelConfig> models,
    List<BackendServerConfig> backendServers,
    List<PlainServiceConfig> plainServices,
    List<CascadeConfig> cascades,
    List<TeamConfig> teams,
    List<RolloutConfig> rollouts) {
  public GatewayConfig {
    dataCentres = List.copyOf(dataCentres);
    models = List.copyOf(models);
    backendServers = List.copyOf(backendServers);
    plainServices = List.copyOf(plainServices);
    cascades = List.copyOf(cascades);
    teams = List.copyOf(teams);
    rollouts = List.copyOf(rollouts);
  }

  /** Returns an empty configuration. */
  public static GatewayConfig empty() {
    return new GatewayConfig(
        List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
  }

  /** Finds a model. */
  public Optional<ModelConfig> model(String id) {
    return models.stream().filter(m -> m.id().equals(id)).findFirst();
  }

  /** Finds a backend server. */
  public Optional<BackendServerConfig> backendServer(String id) {
    return backendServers.stream().filter(b -> b.id().equals(id)).findFirst();
  }

  /** Finds a data centre. */
  public Optional<DataCentreConfig> dataCentre(String id) {
    return dataCentres.stream().filter(d -> d.id().equals(id)).findFirst();
  }

  /** Finds a team. */
  public Optional<TeamConfig> team(String id) {
    return teams.stream().filter(t -> t.id().equals(id)).findFirst();
  }

  /** Finds the cascade for a task class. */
  public Optional<CascadeConfig> cascade(String taskClass) {
    return cascades.stream().filter(c -> c.taskClass().equals(taskClass)).findFirst();
  }

  /** Finds a plain service. */
  public Optional<PlainServiceConfig> plainService(String id) {
    return plainServices.stream().filter(p -> p.id().equals(id)).findFirst();
  }

  /** Returns the state of a version, or empty if the configuration does not define it. */
  public Optional<VersionState> versionState(VersionRef ref) {
    return model(ref.model()).stream()
        .flatMap(m -> m.versions().stream())
        .filter(v -> v.id().equals(ref.version()))
        .map(VersionConfig::state)
        .findFirst();
  }
}
