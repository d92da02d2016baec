package org.guavagw.internal.placement;

import java.util.List;
import org.guavagw.config.BackendServerConfig;

/** The backend servers of one data centre that have one target. Immutable. */
record CandidatePool(String dataCentre, List<BackendServerConfig> servers) {
  CandidatePool {
    servers = List.copyOf(servers);
  }
}
