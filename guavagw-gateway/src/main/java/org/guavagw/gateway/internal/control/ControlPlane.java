package org.guavagw.gateway.internal.control;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.ConfigQuery;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.PeerClient;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.time.Clocks;

/**
 * Keeps the local replicas of the control tables up to date, from the store or from the hub of the
 * data centre. Thread-safe.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class ControlPlane implements AutoCloseable, StoreListener {
  /** Changes end the long poll at once, so a shorter timeout would only add calls. */
  private static final Duration DEFAULT_POLL_TIMEOUT = Duration.ofSeconds(8);

  /** Entries rarely join or leave. */
  private static final Duration MEMBERS_POLL_TIMEOUT = Duration.ofSeconds(25);

  /** Entries of a deployment start at about the same time, so their rows arrive in one batch. */
  private static final Duration MEMBERS_BATCH_DELAY = Duration.ofSeconds(1);

  /** The same while this entry starts, and needs to know whom it may ask. */
  private static final Duration STARTING_MEMBERS_BATCH_DELAY = Duration.ofMillis(200);

  /** Backend servers register in groups, which are cheaper to read in one call. */
  private static final Duration MIN_BACKENDS_BATCH_DELAY = Duration.ofMillis(450);

  /** Each change wakes every entry, so the batch delay grows with their number. */
  private static final Duration BACKENDS_BATCH_DELAY_PER_ENTRY = Duration.ofMillis(6);

  /** Well below the time limit for no longer sending requests to a backend server that drains. */
  private static final Duration MAX_BACKENDS_BATCH_DELAY = Duration.ofMillis(550);

  /** An entry that follows a hub by then never polls the store for changes. */
  private static final Duration FIRST_POLL_DELAY = Duration.ofMillis(850);

  private final ControlState state;
  private final MemberTable memberTable;
  private final ScheduledExecutorService control;
  private final Ticker ticker;
  private final StoreHealth health;
  private final HubSelector hubSelector;
  private final TableReplica orders;
  private final TableReplica members;
  private final List<TableReplica> replicas;
  private final TablePoller ordersPoller;
  private final TablePoller backendsPoller;
  private final List<TablePoller> pollers;
  private final ControlStorePolling polling;
  private final ReplicaServer replicaServer;
  private final HubFollower hubFollower;
  private final StoreEra era;
  private final ConfigExchange configExchange;
  private final EventLog log;
  private final AtomicLong restores = new AtomicLong();

  /**
   * Creates a control plane that is idle until {@link #start}.
   *
   * @param memberTable receives the rows of the members' table
   * @param suspects receives them, too
   */
  public ControlPlane(
      ControlStore store,
      ControlFormat format,
      ControlState state,
      MemberTable memberTable,
      SuspectTable suspects,
      CurrentControlView currentView,
      HubSelector hubSelector,
      PeerClient peers,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log,
      HubTiming hubTiming) {
    this.state = state;
    this.memberTable = memberTable;
    this.control = control;
    this.log = log;
    this.health = new StoreHealth(format.ordersTable());
    this.era = new StoreEra(this::onStoreRestored);
    this.configExchange =
        new ConfigExchange(state, memberTable::current, peers, control, clocks.monotonic(), log);
    this.ticker = clocks.monotonic();
    this.orders = new TableReplica(format.ordersTable(), state.ordersListener());
    TableReplica backends = new TableReplica(format.backendsTable(), state.backendsListener());
    TableReplica status = new TableReplica(format.statusTable(), state.statusListener());
    this.hubSelector = hubSelector;
    this.members =
        new TableReplica(format.membersTable(), new TableListeners(memberTable, suspects));
    this.replicas = List.of(orders, backends, status, members);
    this.replicaServer =
        new ReplicaServer(
            replicas,
            hubTiming,
            orders,
            health,
            state::lapsesExpected,
            state::configMissingInStore,
            followerListener(),
            currentView,
            control,
            clocks);
    this.backendsPoller = poller(backends, backendsTiming(), store, clocks);
    this.ordersPoller = poller(orders, ordersTiming(hubTiming), store, clocks);
    TablePoller membersPoller = poller(members, membersTiming(), store, clocks);
    this.pollers =
        List.of(
            ordersPoller,
            backendsPoller,
            poller(status, statusTiming(), store, clocks),
            membersPoller);
    this.polling = new ControlStorePolling(pollers, ordersPoller, membersPoller, control);
    this.hubFollower =
        new HubFollower(
            replicas,
            orders,
            era,
            hubTiming,
            hubSelector,
            peers,
            memberTable::isRegistered,
            polling,
            hubListener(),
            control,
            clocks,
            log);
  }

  private HubListener hubListener() {
    return new HubListener() {
      @Override
      public void onLapsesExpected(boolean expected, boolean afterGap) {
        state.hubExpectsLapses(expected, afterGap);
      }

      @Override
      public void onNewerConfig(StoredRow row) {
        state.onPeerConfig(row, ticker.read());
      }

      @Override
      public void onReplicated() {
        replicaServer.onReplicaChanged();
      }
    };
  }

  private PollTiming backendsTiming() {
    return new PollTiming(
        () -> DEFAULT_POLL_TIMEOUT, this::backendsBatchDelay, () -> FIRST_POLL_DELAY);
  }

  private static PollTiming statusTiming() {
    return new PollTiming(() -> DEFAULT_POLL_TIMEOUT, () -> Duration.ZERO, () -> FIRST_POLL_DELAY);
  }

  private PollTiming membersTiming() {
    return new PollTiming(
        () -> MEMBERS_POLL_TIMEOUT, this::membersBatchDelay, this::membersFirstPollDelay);
  }

  private PollTiming ordersTiming(HubTiming hubTiming) {
    return new PollTiming(
        () ->
            replicaServer.hasFollowers()
                ? hubTiming.pollTimeout()
                : HubTiming.UNFOLLOWED_POLL_TIMEOUT,
        () -> Duration.ZERO,
        this::ordersFirstPollDelay);
  }

  private TablePoller poller(
      TableReplica replica, PollTiming timing, ControlStore store, Clocks clocks) {
    return new TablePoller(replica, timing, store, health, era, this, control, clocks, log);
  }

  private FollowerListener followerListener() {
    return new FollowerListener() {
      @Override
      public void onFirstFollower() {
        ordersPoller.refresh();
      }

      @Override
      public void onOutdated() {
        hubFollower.leaveOutdatedHub();
      }
    };
  }

  private Duration membersBatchDelay() {
    return state.backendsKnown() ? MEMBERS_BATCH_DELAY : STARTING_MEMBERS_BATCH_DELAY;
  }

  /** An entry that does not see its own registration looks for it, and for others that start. */
  private Duration membersFirstPollDelay() {
    return memberTable.isRegistered() ? FIRST_POLL_DELAY : Duration.ZERO;
  }

  /** An entry beside which no other one runs has none to follow and confirms its orders at once. */
  private Duration ordersFirstPollDelay() {
    return memberTable.current().count() > 1 ? FIRST_POLL_DELAY : Duration.ZERO;
  }

  private Duration backendsBatchDelay() {
    Duration delay =
        MIN_BACKENDS_BATCH_DELAY.plus(
            BACKENDS_BATCH_DELAY_PER_ENTRY.multipliedBy(memberTable.current().count()));
    return delay.compareTo(MAX_BACKENDS_BATCH_DELAY) < 0 ? delay : MAX_BACKENDS_BATCH_DELAY;
  }

  /** Starts replicating the tables. */
  public void start() {
    control.execute(hubFollower::start);
    state
        .start()
        .awaitOthers(memberTable.othersRegistered(), memberTable.whenKnown(), configExchange::ask);
  }

  /** Returns how often the store was restored from a copy since this process started. */
  public long storeRestores() {
    return restores.get();
  }

  private void onStoreRestored(long previousEra) {
    restores.incrementAndGet();
    log.event("store_restored")
        .with("from_era", previousEra)
        .with("to_era", era.current())
        .with("config_in_force", state.configVersion())
        .with("newest_version_before", newestVersion())
        .write();
    state.storeRestored();
    pollers.forEach(TablePoller::reload);
    configExchange.ask();
  }

  private long newestVersion() {
    return replicas.stream().mapToLong(TableReplica::version).max().orElse(0);
  }

  /** Answers the query of another entry for the configuration in force. */
  public CompletionStage<PeerMessage> onQuery(ConfigQuery query) {
    return configExchange.onQuery(query);
  }

  /**
   * Returns whether this entry replicates from the hub of its data centre rather than from the
   * store.
   */
  public boolean followsHub() {
    return hubFollower.isFollowing();
  }

  /** Answers a query from a follower of this entry. */
  public CompletionStage<PeerMessage> onQuery(String follower, ReplicaQuery query) {
    return CompletableFuture.supplyAsync(() -> replicaServer.onQuery(follower, query), control)
        .thenCompose(answer -> answer);
  }

  @Override
  public void onReplicaChanged() {
    polling.onStoreAnswered();
    if (members.isLoaded()) {
      hubFollower.onReplicaChanged();
      if (hubSelector.hubToFollow().isEmpty()) {
        pollers.forEach(TablePoller::startPolls);
      }
    }
    // Each answer states the version of the whole store; those for the orders come most often.
    backendsPoller.onStoreVersion(orders.version());
    replicaServer.onReplicaChanged();
  }

  @Override
  public void onStoreLost() {
    state.storeLost();
    replicaServer.refuseAll();
  }

  @Override
  public void onStoreRecovered() {
    state.storeRecovered(health.isFailing());
    long now = ticker.read();
    pollers.forEach(TablePoller::retryNow);
    pollers.forEach(poller -> poller.refreshIfPendingSince(now));
  }

  @Override
  public void close() {
    control.execute(() -> pollers.forEach(TablePoller::stop));
  }
}
