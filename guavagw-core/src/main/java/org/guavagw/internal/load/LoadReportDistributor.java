package org.guavagw.internal.load;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.config.ConfigHolder;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.membership.GossipMembership;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.RendezvousHashing;

/**
 * Polls the backend servers of the data centre, each from one entry, and gossips the reports to all
 * entries of the data centre.
 *
 * <p>Invariants: an entry polls the backend servers for which it is the first choice of rendezvous
 * hashing, and those for which it is the second choice while no reports arrive; at most one poll of
 * a backend server is in progress. State is confined to the control thread.
 */
public final class LoadReportDistributor implements BackendLoadTable, AutoCloseable {
  private static final long POLL_INTERVAL_MS = 2_000;
  private static final double JITTER = 0.2;
  private static final int ROUNDS_PER_CACHE_POLL = 5;
  private static final int CANDIDATE_POLLERS = 2;
  private static final Duration TAKEOVER_AGE = Duration.ofSeconds(13);

  private final ConfigHolder configs;
  private final GossipMembership membership;
  private final LoadSource source;
  private final CacheEventListener cacheEvents;
  private final ScheduledExecutorService control;
  private final RandomGenerator random;
  private final LoadSection section;
  private final Set<String> polling = new HashSet<>();
  private final Map<String, Long> lastEventNumbers = new HashMap<>();
  private List<Assignment> assignments = List.of();
  private boolean assignmentsOutdated = true;
  private long rounds;
  private volatile boolean closed;

  public LoadReportDistributor(
      ConfigHolder configs,
      GossipMembership membership,
      LoadSource source,
      CacheEventListener cacheEvents,
      ScheduledExecutorService control,
      Ticker ticker,
      RandomGenerator random) {
    this.configs = configs;
    this.membership = membership;
    this.source = source;
    this.cacheEvents = cacheEvents;
    this.control = control;
    this.random = random;
    this.section = new LoadSection(ticker);
    membership.add(section);
    membership.onChange(members -> assignmentsOutdated = true);
    configs.onAdopted(this::onConfigAdopted);
  }

  private void onConfigAdopted(RevisionedConfig config) {
    section.setHashes(ServerIdHashes.of(config.config()));
    assignmentsOutdated = true;
  }

  /** Starts to poll the backend servers. */
  public void start() {
    control.execute(this::schedulePoll);
  }

  private void schedulePoll() {
    if (closed) {
      return;
    }
    double factor = 1 + JITTER * (random.nextDouble() - 0.5);
    long delayMs = (long) (POLL_INTERVAL_MS * factor);
    var unused = control.schedule(this::pollAll, delayMs, TimeUnit.MILLISECONDS);
  }

  private void pollAll() {
    try {
      rounds++;
      if (assignmentsOutdated) {
        assignmentsOutdated = false;
        assignments = assign();
      }
      assignments.stream().filter(this::isDue).forEach(a -> poll(a.server()));
    } finally {
      schedulePoll();
    }
  }

  private List<Assignment> assign() {
    String dataCentre = membership.self().dataCentre();
    String selfId = membership.self().id();
    List<String> alive = membership.alive(dataCentre).stream().map(Member::id).toList();
    List<Assignment> assigned = new ArrayList<>();
    for (BackendServerConfig server : configs.current().config().backendServers()) {
      boolean isEngine = !server.serves().isEmpty();
      if (!isEngine || !server.dataCentre().equals(dataCentre)) {
        continue;
      }
      int rank =
          RendezvousHashing.pick("load/" + server.id(), alive, CANDIDATE_POLLERS).indexOf(selfId);
      if (rank >= 0) {
        assigned.add(new Assignment(server, rank == 0));
      }
    }
    return List.copyOf(assigned);
  }

  private boolean isDue(Assignment assignment) {
    Optional<Duration> age = section.age(assignment.server().id());
    boolean noRecentReport = age.isEmpty() || age.get().compareTo(TAKEOVER_AGE) > 0;
    return assignment.first() || noRecentReport;
  }

  private void poll(BackendServerConfig server) {
    if (!polling.add(server.id())) {
      return;
    }
    String id = server.id();
    var unused =
        source
            .load(server)
            .thenAcceptAsync(load -> load.forEach(l -> section.onPolled(id, l)), control)
            .whenCompleteAsync((v, e) -> polling.remove(id), control);
    if (rounds % ROUNDS_PER_CACHE_POLL == 0) {
      pollCache(server);
    }
  }

  private void pollCache(BackendServerConfig server) {
    long after = lastEventNumbers.getOrDefault(server.id(), 0L);
    var unused =
        source
            .cacheEvents(server, after)
            .thenAcceptAsync(events -> events.forEach(e -> onCacheEvents(server.id(), e)), control);
  }

  private void onCacheEvents(String server, List<CacheEvent> events) {
    if (!events.isEmpty()) {
      lastEventNumbers.put(server, events.get(events.size() - 1).seq());
      cacheEvents.onEvents(server, events);
    }
  }

  @Override
  public Optional<LoadReport> load(String backendServer) {
    return section.load(backendServer);
  }

  @Override
  public void close() {
    closed = true;
  }

  /** A backend server for which this entry is the first or second choice. Immutable. */
  private record Assignment(BackendServerConfig server, boolean first) {}
}
