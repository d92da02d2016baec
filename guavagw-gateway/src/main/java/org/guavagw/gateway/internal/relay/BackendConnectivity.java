package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.model.BackendServer;

/**
 * Knows whether this entry is cut off from all backend servers of a service, by the outcome of new
 * connections.
 *
 * <p>Handles entries that are partitioned from the backend servers while others reach them. As soon
 * as a connection fails and no other came about meanwhile, the servers of the service are probed at
 * once, so that requests don't find out one server after the other. While the entry is cut off, it
 * probes them again and again.
 *
 * <p>Invariant: a connection that timed out doesn't count as failed if anything was received from
 * its data centre since it was begun, as the link is slow then, not cut. One that was refused does,
 * as open connections may outlive a partition. Traffic thread only.
 */
final class BackendConnectivity implements ConnectListener, EndedServerDetector.Witnesses {
  /** How long a server counts as unreachable after a failed connection. */
  static final Duration FAILURE_VALIDITY = Duration.ofSeconds(2);

  /** Time between probes; bounds the time until a service is known to be reachable again. */
  static final Duration PROBE_PERIOD = Duration.ofMillis(300);

  /** Servers that are probed at a time; if all of them fail, so do the others of a service. */
  private static final int MAX_PROBES = 8;

  private final Consumer<BackendServer> probe;
  private final Function<String, List<BackendServer>> serversOf;
  private final Ticker ticker;
  private final EventLog log;
  private final Map<String, Failure> failures = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, DataCentre> dataCentres = new HashMap<>();

  /**
   * Creates an instance that takes all services for reachable.
   *
   * @param probe opens a connection, of whose outcome this listener is notified
   * @param serversOf returns the servers of a service that may be used
   */
  BackendConnectivity(
      Consumer<BackendServer> probe,
      Function<String, List<BackendServer>> serversOf,
      Ticker ticker,
      EventLog log) {
    this.probe = probe;
    this.serversOf = serversOf;
    this.ticker = ticker;
    this.log = log;
  }

  /** Returns whether no backend server of a service can be reached from here. */
  boolean isCutOff(String service) {
    Service state = services.get(service);
    return state != null && state.cutOff && !serversOf.apply(service).isEmpty();
  }

  /** Returns the services of which no backend server can be reached from here. */
  Set<String> cutOffServices() {
    return services.keySet().stream().filter(this::isCutOff).collect(Collectors.toSet());
  }

  @Override
  public List<BackendServer> othersThan(BackendServer server) {
    List<BackendServer> others =
        new ArrayList<>(
            serversOf.apply(server.service()).stream()
                .filter(s -> !s.incarnation().equals(server.incarnation()))
                .toList());
    Collections.shuffle(others, ThreadLocalRandom.current());
    return others;
  }

  @Override
  public void onConnected(BackendServer server) {
    failures.remove(server.incarnation());
    Service state = state(server.service());
    state.connected = true;
    state.lastConnectedNanos = ticker.read();
    if (state.cutOff) {
      state.cutOff = false;
      log.event("service_reachable")
          .with("service", server.service())
          .with("backend", server.id())
          .write();
    }
  }

  @Override
  public void onReceived(BackendServer server) {
    dataCentre(server).onReceived(ticker.read());
  }

  @Override
  public void onConnectFailed(BackendServer server, long begunNanos) {
    onFailure(server, new Failure(begunNanos, ticker.read(), false));
  }

  @Override
  public void onConnectTimedOut(BackendServer server, long begunNanos) {
    onFailure(server, new Failure(begunNanos, ticker.read(), true));
  }

  private void onFailure(BackendServer server, Failure failure) {
    long now = failure.nanos();
    failures.put(server.incarnation(), failure);
    Service state = state(server.service());
    if (state.cutOff
        || state.connectedSince(failure.begunNanos())
        || isDueToSlowLink(server, failure)) {
      return;
    }
    List<BackendServer> servers = serversOf.apply(server.service());
    List<BackendServer> failed = servers.stream().filter(s -> hasFailed(s, state, now)).toList();
    if (failed.size() >= Math.min(servers.size(), MAX_PROBES)) {
      state.cutOff = true;
      long timedOut = failed.stream().filter(s -> failures.get(s.incarnation()).timedOut()).count();
      log.event("service_unreachable")
          .with("service", server.service())
          .with("backend_servers", servers.size())
          .with("failed_connections", failed.size())
          .with("timed_out", timedOut)
          .with("refused", failed.size() - timedOut)
          .write();
    } else if (state.mayProbe(now)) {
      probeSome(servers.stream().filter(s -> !hasFailed(s, state, now)).toList());
    }
  }

  private void probeSome(List<BackendServer> servers) {
    List<BackendServer> shuffled = new ArrayList<>(servers);
    Collections.shuffle(shuffled, ThreadLocalRandom.current());
    shuffled.stream().limit(MAX_PROBES).forEach(probe);
  }

  private boolean hasFailed(BackendServer server, Service state, long now) {
    Failure failure = failures.get(server.incarnation());
    return failure != null
        && now - failure.nanos() < FAILURE_VALIDITY.toNanos()
        && !state.connectedSince(failure.nanos())
        && !isDueToSlowLink(server, failure);
  }

  private boolean isDueToSlowLink(BackendServer server, Failure failure) {
    return failure.timedOut() && dataCentre(server).receivedSince(failure.begunNanos());
  }

  private DataCentre dataCentre(BackendServer server) {
    return dataCentres.computeIfAbsent(server.dataCentre(), d -> new DataCentre());
  }

  private Service state(String service) {
    return services.computeIfAbsent(service, s -> new Service());
  }

  /** Probes the services from which this entry is cut off. */
  void tick() {
    long now = ticker.read();
    services.forEach(
        (service, state) -> {
          if (state.cutOff && state.mayProbe(now)) {
            probeSome(serversOf.apply(service));
          }
        });
  }

  /** Removes the state of backend servers that no longer exist. */
  void retain(Set<String> incarnations) {
    failures.keySet().retainAll(new HashSet<>(incarnations));
  }

  /**
   * A connection that did not come about. Immutable.
   *
   * @param begunNanos monotonic time at which it was begun
   * @param nanos monotonic time at which it failed
   * @param timedOut whether it was neither accepted nor refused
   */
  private record Failure(long begunNanos, long nanos, boolean timedOut) {}

  /** What was received from the backend servers of one data centre. */
  private static final class DataCentre {
    private boolean received;
    private long lastReceivedNanos;

    void onReceived(long nanos) {
      received = true;
      lastReceivedNanos = nanos;
    }

    boolean receivedSince(long nanos) {
      return received && lastReceivedNanos - nanos >= 0;
    }
  }

  /** What is known of one service. */
  private static final class Service {
    private boolean cutOff;
    private boolean connected;
    private long lastConnectedNanos;
    private boolean probed;
    private long lastProbeNanos;

    boolean connectedSince(long nanos) {
      return connected && lastConnectedNanos - nanos >= 0;
    }

    /** Returns whether a probe is due, and counts it if it is. */
    boolean mayProbe(long now) {
      if (probed && now - lastProbeNanos < PROBE_PERIOD.toNanos()) {
        return false;
      }
      probed = true;
      lastProbeNanos = now;
      return true;
    }
  }
}
