package org.guavagw.gateway.model;

import java.time.Duration;
import java.util.List;

/**
 * Where requests of one host and path prefix go, and what is allowed for them. Immutable.
 *
 * @param prefix begins and ends with a slash
 * @param timeout longest time that the operators let a caller wait
 * @param objective time to the answer, or to the first event of a stream
 * @param priority rank of the route; 0 is the most urgent
 * @param models names of the models that the gateway chooses from, smallest first; empty where the
 *     caller names the model
 * @param shares services that take the requests; never empty
 * @param maxAttempts most backend servers that may execute one request
 * @param keyless whether callers need no key
 * @param affine whether requests profit from backend servers that hold parts of their prompt
 * @param resumable whether another backend server may continue a broken stream
 */
public record Route(
    String name,
    String host,
    String prefix,
    Repeatability repeatability,
    Duration timeout,
    Duration objective,
    int priority,
    List<String> models,
    List<ServiceShare> shares,
    int maxAttempts,
    boolean keyless,
    boolean affine,
    boolean resumable) {
  public Route {
    models = List.copyOf(models);
    shares = List.copyOf(shares);
  }

  /** Whether a request may be sent again although a backend server may have executed it. */
  public boolean repeatable() {
    return repeatability == Repeatability.IDEMPOTENT
        || (repeatability == Repeatability.STREAM && resumable);
  }
}
