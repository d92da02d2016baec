package org.guavagw.gateway.model;

import java.net.InetSocketAddress;

/**
 * A backend server as it last described itself. Immutable.
 *
 * @param bornMillis wall time of its start; tells incarnations of one id apart
 * @param coldUntilNanos monotonic time until which it tolerates little load
 */
public record BackendServer(
    String id,
    String service,
    InetSocketAddress address,
    String dataCentre,
    String version,
    int slots,
    boolean draining,
    long bornMillis,
    long coldUntilNanos) {

  /** Names this incarnation among all backend servers. */
  public String incarnation() {
    return id + "@" + bornMillis + "/" + address.getHostString() + ":" + address.getPort();
  }

  /** Whether it is still cold at a monotonic time. */
  public boolean coldAt(long nanos) {
    return coldUntilNanos - nanos > 0;
  }
}
