package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.PeerClient;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.time.Clocks;

/**
 * Follows the tables that the gateway is decided by, at the store or at the hub of the data centre.
 * Thread-safe.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class ControlPlane implements AutoCloseable, StoreListener {
  /** Each answer proves anew that the orders are current, well within the time to revoke a key. */
  private static final Duration ORDERS_WAIT = Duration.ofMillis(1500);

  /**
   * The same at a hub: those that follow it must find out that it lost the store, and catch up,
   * within the bound on configurations.
   */
  private static final Duration HUB_ORDERS_WAIT = Duration.ofMillis(500);

  /** Changes arrive at once; a shorter wait would only cost calls. */
  private static final Duration OTHER_WAIT = Duration.ofSeconds(8);

  /** Entries come and go rarely. */
  private static final Duration MEMBERS_WAIT = Duration.ofSeconds(25);

  /** Entries start together. */
  private static final Duration MEMBERS_PAUSE = Duration.ofSeconds(1);

  /** Backend servers come in groups, which are cheaper to read with one call. */
  private static final Duration MIN_PAUSE = Duration.ofMillis(450);

  /** Each change wakes every entry, so that many entries gather longer. */
  private static final Duration PAUSE_PER_ENTRY = Duration.ofMillis(6);

  /** Well below the time to stop sending to a backend server that leaves. */
  private static final Duration MAX_PAUSE = Duration.ofMillis(800);

  private final ControlState state;
  private final MemberTable memberTable;
  private final ScheduledExecutorService control;
  private final StoreHealth health;
  private final List<TablePoller> watches;
  private final ReplicaServer server;
  private final HubFollower follower;

  /** A control plane that starts on {@link #start}. */
  public ControlPlane(
      ControlStore store,
      ControlFormat format,
      ControlState state,
      MemberTable memberTable,
      CurrentControlView currentView,
      HubSelector hubSelector,
      PeerClient peers,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log) {
    this.state = state;
    this.memberTable = memberTable;
    this.control = control;
    this.health = new StoreHealth(format.ordersTable());
    TableReplica orders = new TableReplica(format.ordersTable(), state.ordersMirror());
    TableReplica backends = new TableReplica(format.backendsTable(), state.backendsMirror());
    TableReplica status = new TableReplica(format.statusTable(), state.statusMirror());
    TableReplica members = new TableReplica(format.membersTable(), memberTable);
    List<TableReplica> replicas = List.of(orders, backends, status, members);
    this.server =
        new ReplicaServer(
            replicas,
            orders,
            health,
            state::lapsesExpected,
            this::refreshOrders,
            currentView,
            control,
            clocks);
    PollTiming ordersPace =
        new PollTiming(
            () -> server.followed() ? HUB_ORDERS_WAIT : ORDERS_WAIT, () -> Duration.ZERO);
    PollTiming backendsPace = new PollTiming(() -> OTHER_WAIT, this::gatheringPause);
    PollTiming statusPace = new PollTiming(() -> OTHER_WAIT, () -> Duration.ZERO);
    PollTiming membersPace = new PollTiming(() -> MEMBERS_WAIT, () -> MEMBERS_PAUSE);
    this.watches =
        List.of(
            new TablePoller(orders, ordersPace, store, health, this, control, clocks, log),
            new TablePoller(backends, backendsPace, store, health, this, control, clocks, log),
            new TablePoller(status, statusPace, store, health, this, control, clocks, log),
            new TablePoller(members, membersPace, store, health, this, control, clocks, log));
    this.follower =
        new HubFollower(
            replicas,
            hubSelector,
            peers,
            () -> watches.forEach(TablePoller::start),
            () -> watches.forEach(TablePoller::stop),
            () -> state.storeRegained(false),
            control,
            clocks,
            log);
  }

  private void refreshOrders() {
    watches.get(0).refresh();
  }

  private Duration gatheringPause() {
    Duration pause = MIN_PAUSE.plus(PAUSE_PER_ENTRY.multipliedBy(memberTable.current().count()));
    return pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
  }

  /** Begins to follow the tables. */
  public void start() {
    control.execute(follower::start);
  }

  /** Whether this entry follows the hub of its data centre rather than the store. */
  public boolean followsHub() {
    return follower.following();
  }

  /** Answers another entry that follows this one. */
  public CompletionStage<PeerMessage> onQuery(ReplicaQuery query) {
    return CompletableFuture.supplyAsync(() -> server.onQuery(query), control)
        .thenCompose(answer -> answer);
  }

  @Override
  public void onReplicaChanged() {
    server.onReplicaChanged();
  }

  @Override
  public void onStoreLost() {
    state.storeLost();
    server.refuseAll();
  }

  @Override
  public void onStoreRegained() {
    state.storeRegained(health.failing());
    watches.forEach(TablePoller::retryNow);
  }

  @Override
  public void close() {
    control.execute(() -> watches.forEach(TablePoller::stop));
  }
}
