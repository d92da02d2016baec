package org.guavagw.gateway.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.guavagw.gateway.model.Route;

/**
 * Maps hosts and paths to routes. Immutable.
 *
 * <p>Invariant: of the routes of a host, the one with the longest matching path prefix is found.
 */
public final class RouteTable {
  private final Map<String, List<Route>> byHost;

  /** Creates a table of the given routes. */
  public RouteTable(List<Route> routes) {
    Map<String, List<Route>> hosts = new HashMap<>();
    for (Route route : routes) {
      hosts.computeIfAbsent(normalized(route.host()), h -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.prefix().length());
    hosts.values().forEach(list -> list.sort(longestFirst));
    this.byHost = hosts;
  }

  /** Returns the route for a host header and a request target. */
  public Optional<Route> find(String host, String target) {
    String path = pathOf(target);
    for (Route route : byHost.getOrDefault(normalized(host), List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String pathOf(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  private static String normalized(String host) {
    int port = host.lastIndexOf(':');
    return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
  }
}
