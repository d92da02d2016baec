package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.PeerClient;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.time.Clocks;

/**
 * Keeps the replicas of this entry up to date by asking the hub of its data centre.
 *
 * <p>Answers deployments of many entries, whose calls to the store would cost more than anything
 * else they do. Invariant: the entry follows the store itself whenever it has no hub, or one that
 * does not answer in time or is not up to date itself. Confined to the control thread, but for
 * {@link #following}.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class HubFollower {
  /** A hub that does not answer for so long is left: its hold time and a slow network. */
  private static final Duration PATIENCE = ReplicaServer.HOLD_TIME.plusMillis(400);

  /**
   * Orders that are older than this show that the hub has lost the store; leaves time to catch up
   * within the bound on configurations.
   */
  private static final Duration MAX_ORDERS_AGE = Duration.ofMillis(1200);

  /** Entries start together, so that a hub can be had soon after the start. */
  private static final Duration FIRST_SEARCH = Duration.ofMillis(700);

  /** How often an entry without a hub looks for one. */
  private static final Duration SEARCH_PERIOD = Duration.ofSeconds(2);

  private final List<TableReplica> replicas;
  private final HubSelector hubSelector;
  private final PeerClient peers;
  private final Runnable followStore;
  private final Runnable leaveStore;
  private final Runnable onLapses;
  private final ScheduledExecutorService control;
  private final Clocks clocks;
  private final EventLog log;
  private volatile boolean following;

  /**
   * A follower.
   *
   * @param followStore makes this entry follow the store itself
   * @param leaveStore ends that
   * @param onLapses hears that entries of backend servers may have lapsed with the store
   */
  HubFollower(
      List<TableReplica> replicas,
      HubSelector hubSelector,
      PeerClient peers,
      Runnable followStore,
      Runnable leaveStore,
      Runnable onLapses,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log) {
    this.replicas = replicas;
    this.hubSelector = hubSelector;
    this.peers = peers;
    this.followStore = followStore;
    this.leaveStore = leaveStore;
    this.onLapses = onLapses;
    this.control = control;
    this.clocks = clocks;
    this.log = log;
  }

  /** Whether a hub is followed. Thread-safe. */
  boolean following() {
    return following;
  }

  /** Follows the store, and a hub as soon as there is one. */
  void start() {
    followStore.run();
    searchAfter(FIRST_SEARCH);
  }

  private void searchAfter(Duration pause) {
    control.schedule(this::search, pause.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void search() {
    Optional<String> hub = hubSelector.hubToFollow();
    if (hub.isEmpty() || !replicas.stream().allMatch(TableReplica::filled)) {
      leaveHub();
      searchAfter(SEARCH_PERIOD);
    } else {
      ask(hub.get());
    }
  }

  private void ask(String hub) {
    Map<String, Long> versions = new HashMap<>();
    replicas.forEach(r -> versions.put(r.table(), r.version()));
    ClockReading sent = ClockReading.now(clocks);
    peers
        .request(hub, new ReplicaQuery(versions), PATIENCE)
        .whenCompleteAsync((answer, failure) -> onAnswer(hub, sent, answer, failure), control);
  }

  private void onAnswer(String hub, ClockReading sent, PeerMessage message, Throwable failure) {
    if (!(message instanceof ReplicaAnswer answer)) {
      lose(hub, String.valueOf(failure == null ? "refused" : failure.getMessage()));
      return;
    }
    ClockReading checked = sent.plus(Duration.ofNanos(answer.checkedAfterNanos()));
    if (answer.lapsesExpected()) {
      onLapses.run();
    }
    answer.tables().forEach(t -> take(t, answer.storeMillis(), checked));
    Duration age = checked.age(clocks);
    if (age.compareTo(MAX_ORDERS_AGE) > 0) {
      lose(hub, "its orders are " + age.toMillis() + " ms old");
      return;
    }
    if (!following) {
      following = true;
      leaveStore.run();
      log.event("hub_followed").with("hub", hub).write();
    }
    search();
  }

  private void take(TableUpdate update, long storeMillis, ClockReading checked) {
    RowBatch batch = new RowBatch(update.rows(), update.version(), storeMillis);
    long now = clocks.monotonic().read();
    for (TableReplica replica : replicas) {
      if (!replica.table().equals(update.table())) {
        continue;
      }
      if (update.whole()) {
        replica.replace(batch, checked, now);
      } else {
        replica.apply(batch, checked, now);
      }
    }
  }

  private void lose(String hub, String reason) {
    hubSelector.avoid(hub);
    log.event("hub_left")
        .with("hub", hub)
        .with("reason", reason)
        .with("followed", following ? "yes" : "no")
        .write();
    leaveHub();
    searchAfter(SEARCH_PERIOD);
  }

  private void leaveHub() {
    following = false;
    followStore.run();
  }
}
