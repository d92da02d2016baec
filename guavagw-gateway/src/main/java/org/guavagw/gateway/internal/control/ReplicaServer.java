package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.CompressedReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.internal.peers.ReplicaRows;
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
 * out of date.
 *
 * <p>Answers with rows share the link with requests. Those of one period are limited in bytes; the
 * others are held back, each for a limited time. First queries and answers without rows are never
 * held back. Confined to the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ReplicaServer {
  /** An entry that got no queries for this time has no followers. */
  private static final Duration FOLLOWER_TIMEOUT = Duration.ofSeconds(3);

  private static final Duration SEND_PERIOD = Duration.ofMillis(50);

  /** A follower leaves its hub if an answer comes 400 ms after the hold time. */
  private static final Duration MAX_DELAY = Duration.ofMillis(250);

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
  private final SendBudget budget;
  private final List<PendingQuery> pendingQueries = new ArrayList<>();
  private final Map<String, Long> lastQueryNanos = new HashMap<>();
  private boolean nextPeriodScheduled;

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
    this.budget = new SendBudget(timing.rowBytesIn(SEND_PERIOD), SEND_PERIOD);
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
    PendingQuery pending = new PendingQuery(query, arrivedAt);
    boolean outdated = isOutdated();
    if (outdated) {
      listener.onOutdated();
    }
    pendingQueries.add(pending);
    if (!canAnswer(query) || (!outdated && first)) {
      complete(pending);
    } else if (!outdated && hasUpdate(pending)) {
      completeUnlessHeldBack(pending);
    }
    if (pendingQueries.contains(pending)) {
      control.schedule(
          () -> completeUnlessHeldBack(pending),
          timing.holdTime().toMillis(),
          TimeUnit.MILLISECONDS);
    }
    return pending.answer;
  }

  private boolean isOutdated() {
    return orders
        .lastChecked()
        .map(c -> c.age(clocks).compareTo(timing.maxOrdersAge()) > 0)
        .orElse(true);
  }

  /** Answers the pending queries for which there is an update now, as far as the budget allows. */
  void onReplicaChanged() {
    List<PendingQuery> updated = new ArrayList<>(pendingQueries);
    updated.removeIf(pending -> !pending.isHeldBack() && !hasUpdate(pending));
    Collections.shuffle(updated, ThreadLocalRandom.current());
    updated.forEach(this::completeUnlessHeldBack);
  }

  /** Refuses all pending queries, so that the followers poll the store themselves. */
  void refuseAll() {
    List<PendingQuery> refused = List.copyOf(pendingQueries);
    pendingQueries.clear();
    refused.forEach(pending -> pending.answer.complete(null));
  }

  private void completeUnlessHeldBack(PendingQuery pending) {
    if (!pendingQueries.contains(pending)) {
      return;
    }
    if (isHeldBack(pending)) {
      scheduleNextPeriod();
    } else {
      complete(pending);
    }
  }

  private boolean isHeldBack(PendingQuery pending) {
    long now = nowNanos();
    return hasRows(pending.query)
        && !budget.isLeft(now)
        && now - pending.heldBackSince(now) < MAX_DELAY.toNanos();
  }

  private void scheduleNextPeriod() {
    if (nextPeriodScheduled) {
      return;
    }
    nextPeriodScheduled = true;
    control.schedule(
        () -> {
          nextPeriodScheduled = false;
          onReplicaChanged();
        },
        SEND_PERIOD.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void complete(PendingQuery pending) {
    if (pendingQueries.remove(pending)) {
      pending.answer.complete(canAnswer(pending.query) ? answerTo(pending) : null);
    }
  }

  private boolean canAnswer(ReplicaQuery query) {
    return !health.isFailing()
        && query.era() <= orders.era()
        && replicas.stream().allMatch(r -> r.isLoaded() && r.era() == orders.era());
  }

  private boolean hasUpdate(PendingQuery pending) {
    return checkedAfter(pending) >= 0 || hasUpdate(pending.query);
  }

  private boolean hasRows(ReplicaQuery query) {
    return hasUpdate(query) || !newerConfig.get().isEmpty();
  }

  private boolean hasUpdate(ReplicaQuery query) {
    return replicas.stream().anyMatch(r -> hasUpdate(r, query));
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
        .map(c -> c.elapsedSince(pending.arrivedAt).toNanos())
        .orElse(Long.MIN_VALUE / 2);
  }

  private PeerMessage answerTo(PendingQuery pending) {
    List<TableUpdate> updates = replicas.stream().map(r -> update(r, pending.query)).toList();
    ReplicaAnswer answer =
        new ReplicaAnswer(
            orders.era(),
            checkedAfter(pending),
            currentView.storeMillis(),
            lapsesExpected.getAsBoolean(),
            updates,
            newerConfig.get());
    PeerMessage sent = pending.query.acceptsCompressed() ? compressor.compress(answer) : answer;
    budget.spend(bytesOfRows(sent), nowNanos());
    return sent;
  }

  private static long bytesOfRows(PeerMessage answer) {
    return answer instanceof CompressedReplicaAnswer compressed
        ? compressed.rows().length
        : ReplicaRows.of((ReplicaAnswer) answer).approximateBytes();
  }

  private static TableUpdate update(TableReplica replica, ReplicaQuery query) {
    return replica.updateSince(query.era(), query.versionOf(replica.table()));
  }

  private long nowNanos() {
    return clocks.monotonic().read();
  }

  /** A query that waits for its answer. Confined to the control thread. */
  private static final class PendingQuery {
    private final ReplicaQuery query;
    private final ClockReading arrivedAt;
    private final CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    private OptionalLong heldBackNanos = OptionalLong.empty();

    PendingQuery(ReplicaQuery query, ClockReading arrivedAt) {
      this.query = query;
      this.arrivedAt = arrivedAt;
    }

    boolean isHeldBack() {
      return heldBackNanos.isPresent();
    }

    /** Returns when its answer was held back first, which is now if it was not before. */
    long heldBackSince(long nowNanos) {
      if (heldBackNanos.isEmpty()) {
        heldBackNanos = OptionalLong.of(nowNanos);
      }
      return heldBackNanos.getAsLong();
    }
  }
}
