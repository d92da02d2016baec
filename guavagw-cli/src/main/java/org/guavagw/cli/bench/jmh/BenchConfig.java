package org.guavagw.cli.bench.jmh;

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
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;

/** Creates configurations at the scale of the decision bench. Stateless. */
final class BenchConfig {
  static final String CASCADE = "report";
  static final List<String> MODELS = List.of("small", "medium", "large");
  static final int TEAMS = 100;
  static final int SLOTS = 16;
  private static final List<VersionRef> VERSIONS =
      List.of(
          new VersionRef("small", "1"),
          new VersionRef("small", "2"),
          new VersionRef("small", "3"),
          new VersionRef("medium", "1"),
          new VersionRef("medium", "2"),
          new VersionRef("large", "1"),
          new VersionRef("large", "2"));
  private static final int DATA_CENTRES = 7;
  private static final int REGIONS = 3;
  private static final int VERSIONS_PER_SERVER = 3;
  private static final double QUALITY_TARGET = 0.8;

  private BenchConfig() {}

  static GatewayConfig of(int backendServers) {
    return new GatewayConfig(
        dataCentres(),
        MODELS.stream().map(BenchConfig::model).toList(),
        IntStream.range(0, backendServers).mapToObj(BenchConfig::server).toList(),
        List.of(),
        List.of(new CascadeConfig(CASCADE, MODELS, QUALITY_TARGET, 0.5)),
        IntStream.range(0, TEAMS).mapToObj(BenchConfig::team).toList(),
        List.of(
            new RolloutConfig(
                "r1", "small", "2", "3", List.of(1, 10, 100), 1, RolloutState.RUNNING)));
  }

  static String dataCentre(int i) {
    return "dc-" + i % DATA_CENTRES;
  }

  static String teamId(int i) {
    return "team-" + i % TEAMS;
  }

  private static List<DataCentreConfig> dataCentres() {
    return IntStream.range(0, DATA_CENTRES)
        .mapToObj(
            i -> new DataCentreConfig(dataCentre(i), "region-" + i % REGIONS, DataCentreState.IN))
        .toList();
  }

  private static ModelConfig model(String id) {
    List<VersionConfig> versions =
        VERSIONS.stream()
            .filter(v -> v.model().equals(id))
            .map(v -> new VersionConfig(v.version(), VersionState.SERVING))
            .toList();
    return new ModelConfig(id, versions, new PriceConfig(100, 400));
  }

  private static BackendServerConfig server(int i) {
    List<VersionRef> serves = new ArrayList<>();
    for (int v = 0; v < VERSIONS_PER_SERVER; v++) {
      serves.add(VERSIONS.get((i + v * 2) % VERSIONS.size()));
    }
    return new BackendServerConfig(
        "server-" + i, dataCentre(i), "127.0.0.1", 8_000, serves, SLOTS, 2, true, true, false);
  }

  private static TeamConfig team(int i) {
    List<AllowanceConfig> allowances =
        MODELS.stream().map(m -> new AllowanceConfig(m, List.of())).toList();
    return new TeamConfig(
        teamId(i),
        List.of(),
        allowances,
        List.of(CASCADE),
        List.of(),
        new BudgetConfig(1_000_000_000),
        new LimitConfig(1_000, 1 + i % 3));
  }
}
