package org.guavagw.internal.placement;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multimaps;
import java.util.List;
import java.util.Map;
import org.guavagw.config.BackendServerConfig;

/** Backend servers that serve one target, by id and by data centre. Immutable. */
record TargetServers(
    Map<String, BackendServerConfig> byId, Map<String, DataCentreServers> byDataCentre) {
  static final TargetServers NONE = new TargetServers(Map.of(), Map.of());

  static TargetServers of(List<BackendServerConfig> servers) {
    ImmutableMap.Builder<String, BackendServerConfig> byId = ImmutableMap.builder();
    servers.forEach(s -> byId.put(s.id(), s));
    ImmutableListMultimap<String, BackendServerConfig> grouped =
        Multimaps.index(servers, BackendServerConfig::dataCentre);
    ImmutableMap.Builder<String, DataCentreServers> byDataCentre = ImmutableMap.builder();
    grouped
        .asMap()
        .forEach((dc, s) -> byDataCentre.put(dc, new DataCentreServers(dc, List.copyOf(s))));
    return new TargetServers(byId.buildKeepingLast(), byDataCentre.buildOrThrow());
  }
}
