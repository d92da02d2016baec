package org.guavagw.internal.placement;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.limits.RequestClass;

final class PlacementFixtures {
  static final VersionRef VERSION = new VersionRef("desk", "1");
  static final PlacementTarget TARGET = new PlacementTarget.Version(VERSION);
  static final int SLOTS = 8;

  private PlacementFixtures() {}

  static DataCentreConfig dataCentre(String id, DataCentreState state) {
    return new DataCentreConfig(id, "region", state);
  }

  static BackendServerConfig server(String id, String dc, boolean leaving, VersionRef... serves) {
    return new BackendServerConfig(
        id, dc, "127.0.0.1", 1, List.of(serves), SLOTS, 1, true, false, leaving);
  }

  static RevisionedConfig config(
      long revision, List<DataCentreConfig> dataCentres, List<BackendServerConfig> servers) {
    return new RevisionedConfig(
        revision,
        new GatewayConfig(
            dataCentres, List.of(), servers, List.of(), List.of(), List.of(), List.of()));
  }

  static PlacementQuery query(BackendIndex index, Set<String> excluded) {
    return new PlacementQuery(
        index, TARGET, "dc-0", OptionalLong.empty(), RequestClass.INTERACTIVE, excluded);
  }

  static LoadReport report(String bootId, boolean cold, int running, long nowNanos) {
    return new LoadReport(bootId, cold, running, 0, SLOTS, List.of(VERSION), nowNanos);
  }
}
