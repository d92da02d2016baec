package org.guavagw.config;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks backend servers and plain services. Stateless. */
final class ServerChecks {
  private static final int MAX_PORT = 65_535;

  private ServerChecks() {}

  static void check(GatewayConfig config, FaultCollector faults) {
    List<BackendServerConfig> servers = config.backendServers();
    faults.requireDistinct("$.backendServers", ".id", servers, BackendServerConfig::id);
    Set<String> centres =
        config.dataCentres().stream().map(DataCentreConfig::id).collect(Collectors.toSet());
    for (int i = 0; i < servers.size(); i++) {
      String path = "$.backendServers[" + i + "]";
      BackendServerConfig server = servers.get(i);
      checkServer(path, server, faults);
      faults.requireKnown(path + ".dataCentre", "data centre", server.dataCentre(), centres);
      checkServes(path + ".serves", server.serves(), config, faults);
    }
    checkServices(config, faults);
  }

  private static void checkServer(String path, BackendServerConfig server, FaultCollector faults) {
    faults.requireName(path + ".id", server.id());
    faults.requireName(path + ".host", server.host());
    if (server.port() < 1 || server.port() > MAX_PORT) {
      faults.add(path + ".port", "is " + server.port(), "use a port from 1 to " + MAX_PORT);
    }
    faults.requirePositive(path + ".slots", server.slots());
    faults.requirePositive(path + ".coldSlots", server.coldSlots());
    if (server.coldSlots() > server.slots()) {
      faults.add(path + ".coldSlots", "is above slots", "use at most " + server.slots());
    }
  }

  private static void checkServes(
      String path, List<VersionRef> versions, GatewayConfig config, FaultCollector faults) {
    faults.requireDistinct(path, "", versions, v -> v);
    for (int i = 0; i < versions.size(); i++) {
      checkVersion(path + "[" + i + "]", versions.get(i), config, faults);
    }
  }

  private static void checkVersion(
      String path, VersionRef version, GatewayConfig config, FaultCollector faults) {
    if (config.model(version.model()).isEmpty()) {
      faults.requireKnown(path + ".model", "model", version.model(), Set.of());
      return;
    }
    if (config.versionState(version).isEmpty()) {
      faults.requireKnown(path + ".version", "version", version.toString(), Set.of());
    }
  }

  private static void checkServices(GatewayConfig config, FaultCollector faults) {
    List<PlainServiceConfig> services = config.plainServices();
    faults.requireDistinct("$.plainServices", ".id", services, PlainServiceConfig::id);
    Set<String> servers =
        config.backendServers().stream().map(BackendServerConfig::id).collect(Collectors.toSet());
    for (int i = 0; i < services.size(); i++) {
      String path = "$.plainServices[" + i + "]";
      PlainServiceConfig service = services.get(i);
      faults.requireName(path + ".id", service.id());
      faults.requireNotNegative(path + ".microsPerCall", service.microsPerCall());
      checkCalls(path + ".calls", service.calls(), faults);
      List<String> offered = service.backendServers();
      faults.requireDistinct(path + ".backendServers", "", offered, s -> s);
      for (int k = 0; k < offered.size(); k++) {
        faults.requireKnown(
            path + ".backendServers[" + k + "]", "backend server", offered.get(k), servers);
      }
    }
  }

  private static void checkCalls(String path, List<CallRule> calls, FaultCollector faults) {
    faults.requireDistinct(path, "", calls, c -> c.method() + " " + c.pathPrefix());
    for (int i = 0; i < calls.size(); i++) {
      CallRule call = calls.get(i);
      faults.requireName(path + "[" + i + "].method", call.method());
      if (!call.pathPrefix().startsWith("/")) {
        faults.add(path + "[" + i + "].pathPrefix", "does not start with '/'", "start it with '/'");
      }
    }
  }
}
