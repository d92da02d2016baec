package org.guavagw.config;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * Changes that operators and controllers make to a configuration. Each method returns a changed
 * copy; an element that does not exist is ignored. Stateless.
 */
public final class ConfigEdits {
  private ConfigEdits() {}

  /** Sets the state of a version. */
  public static GatewayConfig setVersionState(
      GatewayConfig config, VersionRef ref, VersionState state) {
    UnaryOperator<VersionConfig> setState = v -> new VersionConfig(v.id(), state);
    List<ModelConfig> models =
        replace(
            config.models(),
            m -> m.id().equals(ref.model()),
            m ->
                new ModelConfig(
                    m.id(),
                    replace(m.versions(), v -> v.id().equals(ref.version()), setState),
                    m.price()));
    return new GatewayConfig(
        config.dataCentres(),
        models,
        config.backendServers(),
        config.plainServices(),
        config.cascades(),
        config.teams(),
        config.rollouts());
  }

  /** Takes a data centre out of service or brings it back. */
  public static GatewayConfig setDataCentreState(
      GatewayConfig config, String dataCentre, DataCentreState state) {
    List<DataCentreConfig> centres =
        replace(
            config.dataCentres(),
            d -> d.id().equals(dataCentre),
            d -> new DataCentreConfig(d.id(), d.region(), state));
    return new GatewayConfig(
        centres,
        config.models(),
        config.backendServers(),
        config.plainServices(),
        config.cascades(),
        config.teams(),
        config.rollouts());
  }

  /** Sets whether a backend server is leaving. */
  public static GatewayConfig setLeaving(
      GatewayConfig config, String backendServer, boolean leaving) {
    List<BackendServerConfig> servers =
        replace(
            config.backendServers(),
            b -> b.id().equals(backendServer),
            b ->
                new BackendServerConfig(
                    b.id(),
                    b.dataCentre(),
                    b.host(),
                    b.port(),
                    b.serves(),
                    b.slots(),
                    b.coldSlots(),
                    b.checksFencing(),
                    b.resumesStreams(),
                    leaving));
    return new GatewayConfig(
        config.dataCentres(),
        config.models(),
        servers,
        config.plainServices(),
        config.cascades(),
        config.teams(),
        config.rollouts());
  }

  /** Adds a rollout or replaces the one with the same id. */
  public static GatewayConfig putRollout(GatewayConfig config, RolloutConfig rollout) {
    Stream<RolloutConfig> others =
        config.rollouts().stream().filter(r -> !r.id().equals(rollout.id()));
    return withRollouts(config, Stream.concat(others, Stream.of(rollout)).toList());
  }

  /** Sets the stage and the state of a rollout. */
  public static GatewayConfig moveRollout(
      GatewayConfig config, String rolloutId, int stage, RolloutState state) {
    return withRollouts(
        config,
        replace(
            config.rollouts(),
            r -> r.id().equals(rolloutId),
            r ->
                new RolloutConfig(
                    r.id(),
                    r.model(),
                    r.fromVersion(),
                    r.toVersion(),
                    r.stagesPercent(),
                    stage,
                    state)));
  }

  private static GatewayConfig withRollouts(GatewayConfig config, List<RolloutConfig> rollouts) {
    return new GatewayConfig(
        config.dataCentres(),
        config.models(),
        config.backendServers(),
        config.plainServices(),
        config.cascades(),
        config.teams(),
        rollouts);
  }

  private static <T> List<T> replace(List<T> items, Predicate<T> matches, UnaryOperator<T> change) {
    return items.stream().map(i -> matches.test(i) ? change.apply(i) : i).toList();
  }
}
