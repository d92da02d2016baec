package org.guavagw.gateway.model;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The state of a backend server as it last registered it. Immutable.
 *
 * <p>Not a record, so that {@link #incarnation()}, which is read for every server in every
 * selection, is composed only once.
 */
public final class BackendServer {
  private final String id;
  private final String service;
  private final InetSocketAddress address;
  private final String dataCentre;
  private final String version;
  private final int slots;
  private final boolean draining;
  private final long startedMillis;
  private final long coldUntilNanos;
  private final String incarnation;

  /**
   * Creates a state.
   *
   * @param startedMillis wall-clock time of its start; distinguishes the incarnations of one id
   * @param coldUntilNanos monotonic time until which it is in its cold start and tolerates little
   *     load
   */
  public BackendServer(
      String id,
      String service,
      InetSocketAddress address,
      String dataCentre,
      String version,
      int slots,
      boolean draining,
      long startedMillis,
      long coldUntilNanos) {
    this.id = id;
    this.service = service;
    this.address = address;
    this.dataCentre = dataCentre;
    this.version = version;
    this.slots = slots;
    this.draining = draining;
    this.startedMillis = startedMillis;
    this.coldUntilNanos = coldUntilNanos;
    this.incarnation =
        id + "@" + startedMillis + "/" + address.getHostString() + ":" + address.getPort();
  }

  /** Returns its name among the registrations, which a later server may take over. */
  public String id() {
    return id;
  }

  /** Returns the service that it serves. */
  public String service() {
    return service;
  }

  /** Returns the address that it listens on. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns the data centre that it runs in. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Returns the version of the service that it runs. */
  public String version() {
    return version;
  }

  /** Returns the number of requests that it works on at a time. */
  public int slots() {
    return slots;
  }

  /** Returns whether it takes no new requests. */
  public boolean draining() {
    return draining;
  }

  /** Returns the wall-clock time of its start. */
  public long startedMillis() {
    return startedMillis;
  }

  /** Returns the monotonic time at which its cold start ends. */
  public long coldUntilNanos() {
    return coldUntilNanos;
  }

  /** Returns an identifier of this incarnation that is unique among all backend servers. */
  public String incarnation() {
    return incarnation;
  }

  /** Returns the id of the backend server that an incarnation is one of. */
  public static String idOfIncarnation(String incarnation) {
    return incarnation.substring(0, Math.max(0, incarnation.lastIndexOf('@')));
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

  @Override
  public boolean equals(Object other) {
    return other instanceof BackendServer s
        && incarnation.equals(s.incarnation)
        && id.equals(s.id)
        && service.equals(s.service)
        && address.equals(s.address)
        && dataCentre.equals(s.dataCentre)
        && version.equals(s.version)
        && slots == s.slots
        && draining == s.draining
        && startedMillis == s.startedMillis
        && coldUntilNanos == s.coldUntilNanos;
  }

  @Override
  public int hashCode() {
    return Objects.hash(incarnation, version, draining);
  }

  @Override
  public String toString() {
    return incarnation + " of " + service + " " + version + (draining ? ", draining" : "");
  }
}
