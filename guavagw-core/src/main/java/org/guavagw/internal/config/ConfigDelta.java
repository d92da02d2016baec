package org.guavagw.internal.config;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PlainServiceConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.TeamConfig;

/** Difference between two configurations, element by element. Immutable. */
public record ConfigDelta(
    ListDelta<DataCentreConfig> dataCentres,
    ListDelta<ModelConfig> models,
    ListDelta<BackendServerConfig> backendServers,
    ListDelta<PlainServiceConfig> plainServices,
    ListDelta<CascadeConfig> cascades,
    ListDelta<TeamConfig> teams,
    ListDelta<RolloutConfig> rollouts) {

  /** Elements of one list that were added or changed, and ids of those removed. Immutable. */
  public record ListDelta<T>(List<T> put, List<String> removed) {
    public ListDelta {
      put = List.copyOf(put);
      removed = List.copyOf(removed);
    }

    static <T> ListDelta<T> between(List<T> before, List<T> after, Function<T, String> id) {
      Map<String, T> old = byId(before, id);
      Map<String, T> next = byId(after, id);
      List<T> put = next.values().stream().filter(t -> !t.equals(old.get(id.apply(t)))).toList();
      List<String> removed = old.keySet().stream().filter(k -> !next.containsKey(k)).toList();
      return new ListDelta<>(put, removed);
    }

    List<T> applyTo(List<T> before, Function<T, String> id) {
      Map<String, T> elements = byId(before, id);
      removed.forEach(elements::remove);
      put.forEach(t -> elements.put(id.apply(t), t));
      return List.copyOf(elements.values());
    }

    private static <T> Map<String, T> byId(List<T> list, Function<T, String> id) {
      Map<String, T> elements = new LinkedHashMap<>();
      list.forEach(t -> elements.put(id.apply(t), t));
      return elements;
    }
  }

  /** A delta that changes nothing. */
  public static final ConfigDelta NONE = between(GatewayConfig.empty(), GatewayConfig.empty());

  /** Returns the delta that leads from one configuration to another. */
  public static ConfigDelta between(GatewayConfig a, GatewayConfig b) {
    return new ConfigDelta(
        ListDelta.between(a.dataCentres(), b.dataCentres(), DataCentreConfig::id),
        ListDelta.between(a.models(), b.models(), ModelConfig::id),
        ListDelta.between(a.backendServers(), b.backendServers(), BackendServerConfig::id),
        ListDelta.between(a.plainServices(), b.plainServices(), PlainServiceConfig::id),
        ListDelta.between(a.cascades(), b.cascades(), CascadeConfig::taskClass),
        ListDelta.between(a.teams(), b.teams(), TeamConfig::id),
        ListDelta.between(a.rollouts(), b.rollouts(), RolloutConfig::id));
  }

  /** Returns the configuration that results when this delta is applied to another one. */
  public GatewayConfig applyTo(GatewayConfig a) {
    return new GatewayConfig(
        dataCentres.applyTo(a.dataCentres(), DataCentreConfig::id),
        models.applyTo(a.models(), ModelConfig::id),
        backendServers.applyTo(a.backendServers(), BackendServerConfig::id),
        plainServices.applyTo(a.plainServices(), PlainServiceConfig::id),
        cascades.applyTo(a.cascades(), CascadeConfig::taskClass),
        teams.applyTo(a.teams(), TeamConfig::id),
        rollouts.applyTo(a.rollouts(), RolloutConfig::id));
  }

  /** Returns whether two configurations are equal except for the order within their lists. */
  public static boolean sameContent(GatewayConfig a, GatewayConfig b) {
    return sameElements(a.dataCentres(), b.dataCentres())
        && sameElements(a.models(), b.models())
        && sameElements(a.backendServers(), b.backendServers())
        && sameElements(a.plainServices(), b.plainServices())
        && sameElements(a.cascades(), b.cascades())
        && sameElements(a.teams(), b.teams())
        && sameElements(a.rollouts(), b.rollouts());
  }

  private static <T> boolean sameElements(List<T> a, List<T> b) {
    return a.size() == b.size() && new HashSet<>(a).equals(new HashSet<>(b));
  }
}
