package org.guavagw.config;

import java.util.List;

/**
 * A service that is not a model engine. Calls without a matching rule must not be retried.
 * Immutable.
 *
 * @param backendServers ids of the backend servers that provide it
 * @param microsPerCall price of one call in micro-units of currency
 */
public record PlainServiceConfig(
    String id, List<String> backendServers, List<CallRule> calls, long microsPerCall) {
  public PlainServiceConfig {
    backendServers = List.copyOf(backendServers);
    calls = List.copyOf(calls);
  }

  /** Returns whether a call may be retried; the rule with the longest matching prefix decides. */
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
