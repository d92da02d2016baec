package org.guavagw.gateway.model;

import java.time.Duration;
import java.util.List;

/**
 * How requests to one host and path prefix are routed and retried. Immutable.
 *
 * @param prefix begins and ends with a slash
 * @param timeout maximum duration of a request, set by the operators
 * @param objective latency objective: time to the answer, or to the first event of a stream
 * @param priority priority of the requests; 0 is the most urgent
 * @param models names of the models that the gateway chooses from, smallest first; empty if the
 *     caller specifies the model
 * @param shares services that receive the requests; never empty
 * @param maxAttempts maximum number of executions of one request
 * @param keyless whether requests are accepted without an API key
 * @param prefixAffinity whether requests benefit from backend servers that have cached parts of
 *     their prompt
 * @param resumable whether another backend server can resume an interrupted stream
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteKind kind,
    Duration timeout,
    Duration objective,
    int priority,
    List<String> models,
    List<ServiceShare> shares,
    int maxAttempts,
    boolean keyless,
    boolean prefixAffinity,
    boolean resumable) {
  public Route {
    models = List.copyOf(models);
    shares = List.copyOf(shares);
  }

  /** Returns whether a request may be retried even if a backend server may have executed it. */
  public boolean safeToRetry() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
  }
}
