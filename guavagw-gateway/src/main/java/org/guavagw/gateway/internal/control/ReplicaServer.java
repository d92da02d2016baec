package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.time.Clocks;

/**
 * Serves the replicas of this entry, as the hub, to other entries of the data centre, so that they
 * need not poll the store.
 *
 * <p>A query is held until something changed, until the orders were checked again, or until the
 * hold time is over; the first one of a follower is answered at once, unless the orders are too old
 * to follow this entry. It is refused (answered with null) while the replicas of this entry may be
 * out of date. Confined to the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ReplicaServer {
  /** An entry that got no queries for this time has no followers. */
  private static final Duration FOLLOWER_TIMEOUT = Duration.ofSeconds(3);

  private final List<TableReplica> replicas;
  private final HubTiming timing;
  private final TableReplica orders;
  private final StoreHealth health;
  private final BooleanSupplier lapsesExpected;
  private final Supplier<List<StoredRow>> newerConfig;
  private final FollowerListener listener;
  private final CurrentControlView currentView;
  private final ScheduledExecutorService control;
  private final Clocks clocks;
  private final AnswerCompressor compressor = new AnswerCompressor();
  private final List<PendingQuery> pendingQueries = new ArrayList<>();
  private final Map<String, Long> lastQueryNanos = new HashMap<>();

  /**
   * Creates a server.
   *
   * @param timing how long a query is held while nothing changes, and which orders are too old
   * @param newerConfig returns the row of the configuration in force if the store has an older one
   */
  ReplicaServer(
      List<TableReplica> replicas,
      HubTiming timing,
      TableReplica orders,
      StoreHealth health,
      BooleanSupplier lapsesExpected,
      Supplier<List<StoredRow>> newerConfig,
      FollowerListener listener,
      CurrentControlView currentView,
      ScheduledExecutorService control,
      Clocks clocks) {
    this.replicas = replicas;
    this.timing = timing;
    this.orders = orders;
    this.health = health;
    this.lapsesExpected = lapsesExpected;
    this.newerConfig = newerConfig;
    this.listener = listener;
    this.currentView = currentView;
    this.control = control;
    this.clocks = clocks;
  }

  /** Returns whether other entries follow this one. */
  boolean hasFollowers() {
    long now = nowNanos();
    lastQueryNanos.values().removeIf(last -> now - last >= FOLLOWER_TIMEOUT.toNanos());
    return !lastQueryNanos.isEmpty();
  }

  CompletionStage<PeerMessage> onQuery(String follower, ReplicaQuery query) {
    ClockReading arrivedAt = ClockReading.now(clocks);
    if (!hasFollowers()) {
      listener.onFirstFollower();
    }
    boolean first = lastQueryNanos.put(follower, arrivedAt.nanos()) == null;
    PendingQuery pending = new PendingQuery(query, arrivedAt, new CompletableFuture<>());
    boolean outdated = isOutdated();
    if (outdated) {
      listener.onOutdated();
    }
    if (!canAnswer(query)) {
      pending.answer().complete(null);
    } else if (!outdated && (first || hasUpdate(pending))) {
      pending.answer().complete(answerTo(pending));
    } else {
      pendingQueries.add(pending);
      control.schedule(
          () -> complete(pending), timing.holdTime().toMillis(), TimeUnit.MILLISECONDS);
    }
    return pending.answer();
  }

  private boolean isOutdated() {
    return orders
        .lastChecked()
        .map(c -> c.age(clocks).compareTo(timing.maxOrdersAge()) > 0)
        .orElse(true);
  }

  /** Answers the pending queries for which there is an update now. */
  void onReplicaChanged() {
    for (PendingQuery pending : List.copyOf(pendingQueries)) {
      if (hasUpdate(pending)) {
        complete(pending);
      }
    }
  }

  /** Refuses all pending queries, so that the followers poll the store themselves. */
  void refuseAll() {
    List<PendingQuery> refused = List.copyOf(pendingQueries);
    pendingQueries.clear();
    refused.forEach(pending -> pending.answer().complete(null));
  }

  private void complete(PendingQuery pending) {
    if (pendingQueries.remove(pending)) {
      pending.answer().complete(canAnswer(pending.query()) ? answerTo(pending) : null);
    }
  }

  private boolean canAnswer(ReplicaQuery query) {
    return !health.isFailing()
        && query.era() <= orders.era()
        && replicas.stream().allMatch(r -> r.isLoaded() && r.era() == orders.era());
  }

  private boolean hasUpdate(PendingQuery pending) {
    return checkedAfter(pending) >= 0
        || replicas.stream().anyMatch(r -> hasUpdate(r, pending.query()));
  }

  private static boolean hasUpdate(TableReplica replica, ReplicaQuery query) {
    return replica.changedSince(query.era(), query.versionOf(replica.table()));
  }

  /**
   * Returns how long after the arrival of a query the orders were last checked; negative if before.
   */
  private long checkedAfter(PendingQuery pending) {
    return orders
        .lastChecked()
        .map(c -> c.elapsedSince(pending.arrivedAt()).toNanos())
        .orElse(Long.MIN_VALUE / 2);
  }

  private PeerMessage answerTo(PendingQuery pending) {
    List<TableUpdate> updates = replicas.stream().map(r -> update(r, pending.query())).toList();
    ReplicaAnswer answer =
        new ReplicaAnswer(
            orders.era(),
            checkedAfter(pending),
            currentView.storeMillis(),
            lapsesExpected.getAsBoolean(),
            updates,
            newerConfig.get());
    return pending.query().acceptsCompressed() ? compressor.compress(answer) : answer;
  }

  private static TableUpdate update(TableReplica replica, ReplicaQuery query) {
    return replica.updateSince(query.era(), query.versionOf(replica.table()));
  }

  private long nowNanos() {
    return clocks.monotonic().read();
  }

  /** A query that waits for its answer. Immutable except for the answer. */
  private record PendingQuery(
      ReplicaQuery query, ClockReading arrivedAt, CompletableFuture<PeerMessage> answer) {}
}
