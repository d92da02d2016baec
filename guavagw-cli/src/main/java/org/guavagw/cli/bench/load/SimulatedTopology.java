package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.placement.PlacementTarget;

/**
 * Data centres, entries and engines of a simulated deployment. Immutable.
 *
 * @param oneWay one-way network delay between two data centres
 */
record SimulatedTopology(
    List<String> dataCentres, int entriesPerDataCentre, int engines, Duration oneWay, int teams) {
  static final VersionRef VERSION = new VersionRef("desk", "1");
  static final PlacementTarget TARGET = new PlacementTarget.Version(VERSION);
  private static final String REGION = "region";
  private static final int PORT = 8000;

  SimulatedTopology {
    dataCentres = List.copyOf(dataCentres);
  }

  static SimulatedTopology of(Deployment deployment) {
    return switch (deployment) {
      case NILE_BASIN ->
          new SimulatedTopology(
              List.of("aswan-hq", "high-dam", "esna-barr", "luxor-ops"),
              2,
              12,
              Duration.ofNanos(1_500_000),
              10);
      case SWAP_ASSOCIATION ->
          new SimulatedTopology(
              List.of("kingston", "spanish-town", "may-pen"), 2, 8, Duration.ofNanos(500_000), 10);
    };
  }

  int entries() {
    return dataCentres.size() * entriesPerDataCentre;
  }

  int totalSlots(EngineModel model) {
    return engines * model.slots();
  }

  /** Creates the configuration with one data centre, or none if empty, out of service. */
  GatewayConfig config(EngineModel model, String outDataCentre) {
    List<DataCentreConfig> dataCentreConfigs = new ArrayList<>();
    for (String dc : dataCentres) {
      DataCentreState state = dc.equals(outDataCentre) ? DataCentreState.OUT : DataCentreState.IN;
      dataCentreConfigs.add(new DataCentreConfig(dc, REGION, state));
    }
    List<BackendServerConfig> servers = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      servers.add(server(model, i));
    }
    return new GatewayConfig(
        dataCentreConfigs, List.of(), servers, List.of(), List.of(), List.of(), List.of());
  }

  private BackendServerConfig server(EngineModel model, int i) {
    String dc = dataCentres.get(i % dataCentres.size());
    return new BackendServerConfig(
        dc + "-engine-" + i,
        dc,
        "127.0.0.1",
        PORT + i,
        List.of(VERSION),
        model.slots(),
        model.coldSlots(),
        true,
        false,
        false);
  }
}
