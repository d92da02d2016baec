package org.guavagw.internal.placement;

import java.util.List;
import org.guavagw.config.BackendServerConfig;

/** Backend servers of one data centre that serve one target. Immutable. */
record DataCentreServers(String dataCentre, List<BackendServerConfig> servers) {
  DataCentreServers {
    servers = List.copyOf(servers);
  }
}
