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
 * Keeps the replicas of this entry up to date by querying the hub of its data centre.
 *
 * <p>Needed in deployments of many entries, where polling the store from each entry would cost more
 * than anything else they do. Invariant: the entry polls the store itself while it has no hub, or
 * while the hub does not answer in time or is out of date. Confined to the control thread, except
 * for {@link #isFollowing}.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class HubFollower {
  /**
   * Time beyond a hub's hold time for the query and its answer; a hub that does not answer by then
   * is abandoned.
   */
  private static final Duration DELIVERY_TIME = Duration.ofMillis(400);

  /**
   * Entries of a deployment start at about the same time, so a hub is available soon after the
   * start.
   */
  static final Duration FIRST_SEARCH_DELAY = Duration.ofMillis(700);

  /** How often an entry without a hub looks for one. */
  private static final Duration SEARCH_PERIOD = Duration.ofSeconds(2);

  /** Sent in place of an era by which no replica's version can be understood. */
  private static final long DIFFERENT_ERAS = -1;

  private final List<TableReplica> replicas;
  private final TableReplica orders;
  private final StoreEra era;
  private final HubTiming timing;
  private final HubSelector hubSelector;
  private final PeerClient peers;
  private final Runnable startStorePolling;
  private final Runnable stopStorePolling;
  private final HubListener listener;
  private final ScheduledExecutorService control;
  private final Clocks clocks;
  private final EventLog log;
  private volatile boolean following;

  /**
   * Creates a follower that is idle until {@link #start}.
   *
   * @param replicas replicas of all tables
   * @param orders the one of them whose age the hub's answers state
   * @param startStorePolling starts polling the store
   * @param stopStorePolling stops polling the store
   */
  HubFollower(
      List<TableReplica> replicas,
      TableReplica orders,
      StoreEra era,
      HubTiming timing,
      HubSelector hubSelector,
      PeerClient peers,
      Runnable startStorePolling,
      Runnable stopStorePolling,
      HubListener listener,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log) {
    this.replicas = replicas;
    this.orders = orders;
    this.era = era;
    this.timing = timing;
    this.hubSelector = hubSelector;
    this.peers = peers;
    this.startStorePolling = startStorePolling;
    this.stopStorePolling = stopStorePolling;
    this.listener = listener;
    this.control = control;
    this.clocks = clocks;
    this.log = log;
  }

  /** Returns whether this entry replicates from a hub. Thread-safe. */
  boolean isFollowing() {
    return following;
  }

  /** Starts polling the store, and switches to a hub as soon as there is one. */
  void start() {
    startStorePolling.run();
    searchAfter(FIRST_SEARCH_DELAY);
  }

  private void searchAfter(Duration delay) {
    control.schedule(this::search, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void search() {
    Optional<String> hub = hubSelector.hubToFollow();
    if (hub.isEmpty() || !replicas.stream().allMatch(TableReplica::isLoaded)) {
      fallBackToStore();
      searchAfter(SEARCH_PERIOD);
    } else {
      query(hub.get());
    }
  }

  private void query(String hub) {
    Map<String, Long> versions = new HashMap<>();
    replicas.forEach(r -> versions.put(r.table(), r.version()));
    ClockReading sentAt = ClockReading.now(clocks);
    peers
        .request(
            hub, new ReplicaQuery(commonEra(), versions), timing.holdTime().plus(DELIVERY_TIME))
        .whenCompleteAsync((answer, failure) -> onAnswer(hub, sentAt, answer, failure), control);
  }

  private long commonEra() {
    long first = replicas.get(0).era();
    return replicas.stream().allMatch(r -> r.era() == first) ? first : DIFFERENT_ERAS;
  }

  private void onAnswer(String hub, ClockReading sentAt, PeerMessage message, Throwable failure) {
    if (!(message instanceof ReplicaAnswer answer)) {
      abandonHub(hub, String.valueOf(failure == null ? "refused" : failure.getMessage()));
      return;
    }
    if (!era.observe(answer.era())) {
      abandonHub(hub, "its era of the store is " + answer.era() + " instead of " + era.current());
      return;
    }
    ClockReading checkedAt = sentAt.plus(Duration.ofNanos(answer.checkedAfterNanos()));
    listener.onLapsesExpected(
        answer.lapsesExpected(), orders.lastChecked().map(this::isTooOld).orElse(true));
    answer.tables().forEach(t -> applyUpdate(answer, t, checkedAt));
    answer.newerConfig().forEach(listener::onNewerConfig);
    if (isTooOld(checkedAt)) {
      abandonHub(hub, "its orders are " + checkedAt.age(clocks).toMillis() + " ms old");
      return;
    }
    if (!following) {
      following = true;
      stopStorePolling.run();
      log.event("hub_followed").with("hub", hub).write();
    }
    search();
  }

  private boolean isTooOld(ClockReading checkedAt) {
    return checkedAt.age(clocks).compareTo(timing.maxOrdersAge()) > 0;
  }

  private void applyUpdate(ReplicaAnswer answer, TableUpdate update, ClockReading checkedAt) {
    RowBatch batch =
        new RowBatch(update.rows(), answer.era(), update.version(), answer.storeMillis());
    long now = clocks.monotonic().read();
    for (TableReplica replica : replicas) {
      if (!replica.table().equals(update.table())) {
        continue;
      }
      if (update.whole()) {
        replica.applySnapshot(batch, checkedAt, now);
      } else {
        replica.applyChanges(batch, checkedAt, now);
      }
    }
  }

  private void abandonHub(String hub, String reason) {
    hubSelector.avoid(hub);
    log.event("hub_left")
        .with("hub", hub)
        .with("reason", reason)
        .with("followed", following ? "yes" : "no")
        .write();
    fallBackToStore();
    searchAfter(SEARCH_PERIOD);
  }

  private void fallBackToStore() {
    following = false;
    startStorePolling.run();
  }
}
