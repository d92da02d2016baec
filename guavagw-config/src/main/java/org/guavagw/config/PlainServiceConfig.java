package org.guavagw.config;

import java.util.List;

/**
 * A service beside the model engines. Calls that no rule names may not be repeated. Immutable.
 *
 * @param backendServers ids of the backend servers that offer it
 * @param microsPerCall price of a call in micro-units of currency
 */
public record PlainServiceConfig(
    String id, List<String> backendServers, List<CallRule> calls, long microsPerCall) {
  public PlainServiceConfig {
    backendServers = List.copyOf(backendServers);
    calls = List.copyOf(calls);
  }

  /** Whether a call may be executed twice; the longest matching path prefix decides. */
  public boolean isRepeatable(String method, String path) {
    CallRule best = null;
    for (CallRule rule : calls) {
      boolean matches =
          rule.method().equalsIgnoreCase(method) && path.startsWith(rule.pathPrefix());
      if (matches && (best == null || rule.pathPrefix().length() > best.pathPrefix().length())) {
        best = rule;
      }
    }
    return best != null && best.repeatable();
  }
}
