package org.guavagw.cli.local;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.guavagw.EntrySettings;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.config.ConfigChange;
import org.guavagw.internal.config.TableConfigHistory;
import org.guavagw.internal.entry.RunningEntry;
import org.guavagw.internal.lifecycle.Closer;
import org.guavagw.platform.Platform;
import org.guavagw.platform.Vm;
import org.guavagw.standins.engine.EngineSettings;
import org.guavagw.standins.engine.EngineStandIn;
import org.guavagw.standins.engine.ExecutionLog;
import org.guavagw.standins.platform.FaultyObjectStore;
import org.guavagw.standins.platform.InMemoryObjectStore;
import org.guavagw.standins.platform.LaggingVmList;
import org.guavagw.standins.platform.RateLimitedWeightStore;
import org.guavagw.standins.platform.RatingStandIn;
import org.guavagw.standins.service.PlainServiceStandIn;
import org.guavagw.standins.service.ServiceCallLog;
import org.guavagw.standins.table.FaultyTableService;
import org.guavagw.standins.table.InMemoryTableService;

/**
 * Entries and stand-ins of a deployment in one process, connected over loopback TCP. Thread-safe.
 *
 * <p>The closer owns the stand-ins; the entries can be replaced individually.
 */
public final class LocalDeployment implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final String SECRET = "local-secret";
  private static final String ADMIN_TOKEN = "local-admin-token";
  private static final Duration VM_LIST_LAG = Duration.ofMillis(500);
  private static final Duration BALANCER_LAG = Duration.ofMillis(300);
  private static final Duration SHUTDOWN_LIMIT = Duration.ofSeconds(30);
  private static final int WORKER_THREADS = 128;

  private final Closer closer = new Closer();
  private final DeploymentPlan plan;
  private final LocalOptions options;
  private final ExecutionLog executions = new ExecutionLog();
  private final ServiceCallLog calls = new ServiceCallLog();
  private final Map<String, EngineStandIn> engines = new TreeMap<>();
  private final Map<String, PlainServiceStandIn> ledgers = new TreeMap<>();
  private final List<BackendServerConfig> servers = new ArrayList<>();
  private final List<RunningMember> entries = new CopyOnWriteArrayList<>();
  private final FaultyTableService table;
  private final LaggingVmList vms;
  private final RatingStandIn ratings;
  private final Platform platform;
  private final TableConfigHistory history;

  /** A running entry and its VM. Immutable. */
  public record RunningMember(Vm vm, RunningEntry entry) {}

  /** Starts the stand-ins, applies the configuration of the plan and starts the entries. */
  public LocalDeployment(DeploymentPlan plan, LocalOptions options) {
    this.plan = plan;
    this.options = options;
    long seed = options.seed();
    this.table = new FaultyTableService(new InMemoryTableService(), seed);
    this.vms = new LaggingVmList(Ticker.systemTicker(), VM_LIST_LAG, List.of());
    this.ratings = new RatingStandIn(0.02, seed);
    this.platform =
        new Platform(
            table,
            new FaultyObjectStore(new InMemoryObjectStore(), seed),
            vms,
            ratings,
            new RateLimitedWeightStore(Ticker.systemTicker(), 10, Duration.ofMinutes(1)));
    this.history = new TableConfigHistory(table, InstantSource.system());
    plan.dataCentres().forEach(this::startServers);
    apply("initial", DeploymentConfig.of(plan, servers));
    plan.dataCentres().forEach(this::startEntries);
  }

  /** Returns the token for the admin API of the entries. */
  public static String adminToken() {
    return ADMIN_TOKEN;
  }

  /** Returns the plan of this deployment. */
  public DeploymentPlan plan() {
    return plan;
  }

  /** Returns the entries that are running. */
  public List<RunningMember> entries() {
    return List.copyOf(entries);
  }

  /** Returns the model engines by backend server id. */
  public Map<String, EngineStandIn> engines() {
    return engines;
  }

  /** Returns the plain services by backend server id. */
  public Map<String, PlainServiceStandIn> ledgers() {
    return ledgers;
  }

  /** Returns the requests that the model engines executed. */
  public ExecutionLog executions() {
    return executions;
  }

  /** Returns the requests that the plain services executed. */
  public ServiceCallLog calls() {
    return calls;
  }

  /** Returns the table service with fault injection. */
  public FaultyTableService table() {
    return table;
  }

  /** Returns the rating service with fault injection. */
  public RatingStandIn ratings() {
    return ratings;
  }

  /** Returns the configuration history, to which changes are applied. */
  public TableConfigHistory history() {
    return history;
  }

  /** Returns the data centre of each backend server by id. */
  public Map<String, String> dataCentreOfServers() {
    Map<String, String> dataCentres = new TreeMap<>();
    servers.forEach(s -> dataCentres.put(s.id(), s.dataCentre()));
    return dataCentres;
  }

  /** Applies a configuration and returns its revision. */
  public long apply(String changeId, GatewayConfig config) {
    long expected = history.latest().get().revision();
    return history
        .apply(new ConfigChange(changeId, "local", changeId, expected, config))
        .get()
        .revision();
  }

  /** Starts an additional entry in a data centre. */
  public RunningMember startEntry(String id, String dataCentre) {
    EntrySettings settings =
        EntrySettings.builder(id, dataCentre)
            .peerSecret(SECRET)
            .adminToken(ADMIN_TOKEN)
            .workerThreads(WORKER_THREADS)
            .balancerLag(BALANCER_LAG)
            .shutdownLimit(SHUTDOWN_LIMIT)
            .build();
    RunningEntry entry = RunningEntry.start(settings, platform, options.hooks());
    RunningMember member =
        new RunningMember(new Vm(id, dataCentre, HOST, entry.controlPort(), false), entry);
    entries.add(member);
    publishVms();
    return member;
  }

  /** Removes an entry from the VM list and from load balancing without stopping it. */
  public void removeEntry(RunningMember member) {
    entries.remove(member);
    publishVms();
  }

  /** Waits until all entries are ready; returns false on timeout. */
  public boolean awaitReady(Duration limit) throws InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (System.nanoTime() < deadline) {
      if (entries.stream().allMatch(m -> m.entry().isReady())) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    return false;
  }

  @Override
  public void close() {
    entries.forEach(m -> m.entry().close());
    closer.close();
  }

  private void startEntries(DeploymentPlan.DataCentrePlan dataCentre) {
    for (int i = 0; i < dataCentre.entries(); i++) {
      startEntry("entry-" + dataCentre.id() + "-" + i, dataCentre.id());
    }
  }

  private void startServers(DeploymentPlan.DataCentrePlan dataCentre) {
    for (int i = 0; i < dataCentre.engines(); i++) {
      startEngine("engine-" + dataCentre.id() + "-" + i, dataCentre.id());
    }
    for (int i = 0; i < dataCentre.ledgers(); i++) {
      String id = "ledger-" + dataCentre.id() + "-" + i;
      PlainServiceStandIn service = closer.register(new PlainServiceStandIn(id, calls));
      ledgers.put(id, service);
      servers.add(server(id, dataCentre.id(), service.port(), List.of()));
    }
  }

  private void startEngine(String id, String dataCentre) {
    VersionRef[] versions = DeploymentConfig.versions().toArray(VersionRef[]::new);
    EngineStandIn engine =
        closer.register(
            new EngineStandIn(
                EngineSettings.of(id, versions)
                    .withBatch(options.batch())
                    .withColdStart(options.coldStart()),
                executions,
                options.quality()));
    engines.put(id, engine);
    servers.add(server(id, dataCentre, engine.port(), DeploymentConfig.versions()));
  }

  private BackendServerConfig server(
      String id, String dataCentre, int port, List<VersionRef> versions) {
    int slots = options.batch().slots();
    return new BackendServerConfig(
        id, dataCentre, HOST, port, versions, slots, LocalOptions.COLD_SLOTS, true, true, false);
  }

  private void publishVms() {
    vms.set(entries.stream().map(RunningMember::vm).toList());
  }
}
