package org.guavagw.cli.bench.control;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.guavagw.config.AllowanceConfig;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.BudgetConfig;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.LimitConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;

/** Creates configurations of a given scale and modified copies of them. Stateless. */
final class BenchConfigs {
  private static final int MODELS = 3;
  private static final int SLOTS = 32;

  private BenchConfigs() {}

  static GatewayConfig of(BenchScale scale) {
    List<ModelConfig> models =
        IntStream.range(0, MODELS)
            .mapToObj(i -> new ModelConfig("model-" + i, versions(), new PriceConfig(10, 30)))
            .toList();
    return new GatewayConfig(
        IntStream.range(0, scale.dataCentres())
            .mapToObj(scale::dataCentre)
            .map(dc -> new DataCentreConfig(dc, "region-0", DataCentreState.IN))
            .toList(),
        models,
        IntStream.range(0, scale.backendServers()).mapToObj(i -> server(scale, i)).toList(),
        List.of(),
        List.of(new CascadeConfig("lookup", List.of("model-0", "model-1"), 0.8, 0.5)),
        IntStream.range(0, scale.teams()).mapToObj(i -> team(i, 0)).toList(),
        List.of());
  }

  /** Returns a copy with a changed budget of one team. */
  static GatewayConfig withChangedBudget(GatewayConfig config, int change) {
    List<TeamConfig> teams = new ArrayList<>(config.teams());
    int index = change % teams.size();
    teams.set(index, team(index, change + 1));
    return new GatewayConfig(
        config.dataCentres(),
        config.models(),
        config.backendServers(),
        config.plainServices(),
        config.cascades(),
        teams,
        config.rollouts());
  }

  private static List<VersionConfig> versions() {
    return List.of(
        new VersionConfig("v1", VersionState.SERVING),
        new VersionConfig("v2", VersionState.STAGED));
  }

  private static BackendServerConfig server(BenchScale scale, int index) {
    VersionRef version = new VersionRef("model-" + index % MODELS, "v1");
    return new BackendServerConfig(
        "worker-" + index,
        scale.dataCentre(index),
        "10.1." + index / 250 + "." + index % 250,
        8000,
        List.of(version),
        SLOTS,
        2,
        index % 2 == 0,
        true,
        false);
  }

  private static TeamConfig team(int index, int change) {
    String hash = Hashing.sha256().hashString("key-" + index, StandardCharsets.UTF_8).toString();
    return new TeamConfig(
        "team-" + index,
        List.of(hash),
        List.of(
            new AllowanceConfig("model-0", List.of()), new AllowanceConfig("model-1", List.of())),
        List.of("lookup"),
        List.of(),
        new BudgetConfig(1_000_000L + change),
        new LimitConfig(64, 1));
  }
}
