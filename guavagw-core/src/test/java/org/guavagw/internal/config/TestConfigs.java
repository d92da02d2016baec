package org.guavagw.internal.config;

import java.util.List;
import java.util.stream.IntStream;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.VersionRef;

/** Configurations that differ only in their backend servers. */
public final class TestConfigs {
  private TestConfigs() {}

  public static GatewayConfig withServers(String dataCentre, int count, int slots) {
    List<BackendServerConfig> servers =
        IntStream.range(0, count).mapToObj(i -> server(dataCentre, i, slots)).toList();
    return new GatewayConfig(
        List.of(new DataCentreConfig(dataCentre, "region", DataCentreState.IN)),
        List.of(),
        servers,
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  private static BackendServerConfig server(String dataCentre, int index, int slots) {
    return new BackendServerConfig(
        "worker-" + index,
        dataCentre,
        "10.0.0." + index,
        8000,
        List.of(new VersionRef("small", "v1")),
        slots,
        1,
        true,
        false,
        false);
  }
}
