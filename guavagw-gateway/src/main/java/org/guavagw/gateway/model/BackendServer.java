package org.guavagw.gateway.model;

import java.net.InetSocketAddress;

/**
 * The state of a backend server as it last registered it. Immutable.
 *
 * @param startedMillis wall-clock time of its start; distinguishes the incarnations of one id
 * @param coldUntilNanos monotonic time until which it is in its cold start and tolerates little
 *     load
 */
public record BackendServer(
    String id,
    String service,
    InetSocketAddress address,
    String dataCentre,
    String version,
    int slots,
    boolean draining,
    long startedMillis,
    long coldUntilNanos) {

  /** Returns an identifier of this incarnation that is unique among all backend servers. */
  public String incarnation() {
    return id + "@" + startedMillis + "/" + address.getHostString() + ":" + address.getPort();
  }

  /** Returns this backend server as one that gets no new requests. */
  public BackendServer asDraining() {
    return new BackendServer(
        id, service, address, dataCentre, version, slots, true, startedMillis, coldUntilNanos);
  }

  /** Returns whether the cold start is still going on at a monotonic time. */
  public boolean coldAt(long nanos) {
    return coldUntilNanos - nanos > 0;
  }
}
