package org.guavagw.internal.rollout;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;

/** Selects the version that replaces a withdrawn one. Stateless. */
final class SuccessorSelector {
  private SuccessorSelector() {}

  /**
   * Returns the nearest older serving version, else the nearest newer serving one, else the nearest
   * staged one, older ones first. Targets of unfinished rollouts are excluded.
   */
  static Optional<VersionRef> successorOf(GatewayConfig config, VersionRef version) {
    List<VersionConfig> versions =
        config.model(version.model()).map(m -> m.versions()).orElse(List.of());
    int position =
        IntStream.range(0, versions.size())
            .filter(i -> versions.get(i).id().equals(version.version()))
            .findFirst()
            .orElse(versions.size());
    List<VersionConfig> nearestFirst =
        IntStream.concat(
                IntStream.range(0, position).map(i -> position - 1 - i),
                IntStream.range(position + 1, versions.size()))
            .mapToObj(versions::get)
            .filter(v -> !isTarget(config, version.model(), v.id()))
            .toList();
    return first(nearestFirst, VersionState.SERVING)
        .or(() -> first(nearestFirst, VersionState.STAGED))
        .map(v -> new VersionRef(version.model(), v.id()));
  }

  private static Optional<VersionConfig> first(List<VersionConfig> versions, VersionState state) {
    return versions.stream().filter(v -> v.state() == state).findFirst();
  }

  private static boolean isTarget(GatewayConfig config, String model, String version) {
    return config.rollouts().stream()
        .filter(r -> r.state() == RolloutState.RUNNING || r.state() == RolloutState.HELD)
        .anyMatch(r -> isTarget(r, model, version));
  }

  private static boolean isTarget(RolloutConfig rollout, String model, String version) {
    return rollout.model().equals(model) && rollout.toVersion().equals(version);
  }
}
