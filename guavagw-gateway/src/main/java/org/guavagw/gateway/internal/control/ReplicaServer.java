package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.time.Clocks;

/**
 * Answers other entries of the data centre from the replicas of this one, so that they need not ask
 * the store.
 *
 * <p>A question waits until something changed, until the orders have been checked anew, or for the
 * hold time. It is refused (answered with null) while this entry cannot vouch for what it has.
 * Confined to the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ReplicaServer {
  /** Followers find out within this time and a little more that their hub is gone. */
  static final Duration HOLD_TIME = Duration.ofMillis(400);

  /** Without questions for so long nobody follows this entry. */
  private static final Duration FOLLOWED_TIME = Duration.ofSeconds(3);

  private final List<TableReplica> replicas;
  private final TableReplica orders;
  private final StoreHealth health;
  private final BooleanSupplier lapsesExpected;
  private final Runnable onFollowed;
  private final CurrentControlView currentView;
  private final ScheduledExecutorService control;
  private final Clocks clocks;
  private final List<Waiting> waiting = new ArrayList<>();
  private boolean asked;
  private long askedNanos;

  /**
   * A server of replicas.
   *
   * @param onFollowed hears that others begin to follow this entry, which needs newer orders then
   */
  ReplicaServer(
      List<TableReplica> replicas,
      TableReplica orders,
      StoreHealth health,
      BooleanSupplier lapsesExpected,
      Runnable onFollowed,
      CurrentControlView currentView,
      ScheduledExecutorService control,
      Clocks clocks) {
    this.replicas = replicas;
    this.orders = orders;
    this.health = health;
    this.lapsesExpected = lapsesExpected;
    this.onFollowed = onFollowed;
    this.currentView = currentView;
    this.control = control;
    this.clocks = clocks;
  }

  /** Whether other entries follow this one. */
  boolean followed() {
    return asked && nowNanos() - askedNanos < FOLLOWED_TIME.toNanos();
  }

  CompletionStage<PeerMessage> onQuery(ReplicaQuery query) {
    ClockReading arrived = ClockReading.now(clocks);
    if (!followed()) {
      onFollowed.run();
    }
    asked = true;
    askedNanos = arrived.nanos();
    Waiting question = new Waiting(query, arrived, new CompletableFuture<>());
    if (!canAnswer()) {
      question.answer().complete(null);
    } else if (hasNews(question)) {
      question.answer().complete(answerTo(question));
    } else {
      waiting.add(question);
      control.schedule(() -> end(question), HOLD_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }
    return question.answer();
  }

  /** Answers those that have waited for what is known now. */
  void onReplicaChanged() {
    for (Waiting question : List.copyOf(waiting)) {
      if (hasNews(question)) {
        end(question);
      }
    }
  }

  /** Refuses those that wait, so that they ask the store themselves. */
  void refuseAll() {
    List<Waiting> refused = List.copyOf(waiting);
    waiting.clear();
    refused.forEach(q -> q.answer().complete(null));
  }

  private void end(Waiting question) {
    if (waiting.remove(question)) {
      question.answer().complete(canAnswer() ? answerTo(question) : null);
    }
  }

  private boolean canAnswer() {
    return !health.failing() && replicas.stream().allMatch(TableReplica::filled);
  }

  private boolean hasNews(Waiting question) {
    return checkedAfter(question) >= 0
        || replicas.stream().anyMatch(r -> r.changedSince(question.query().versionOf(r.table())));
  }

  /** How long after the arrival of a question the orders were checked; negative if before. */
  private long checkedAfter(Waiting question) {
    return orders
        .checked()
        .map(c -> c.after(question.arrived()).toNanos())
        .orElse(Long.MIN_VALUE / 2);
  }

  private ReplicaAnswer answerTo(Waiting question) {
    List<TableUpdate> updates =
        replicas.stream().map(r -> r.updateSince(question.query().versionOf(r.table()))).toList();
    return new ReplicaAnswer(
        checkedAfter(question), currentView.storeMillis(), lapsesExpected.getAsBoolean(), updates);
  }

  private long nowNanos() {
    return clocks.monotonic().read();
  }

  /** A question that waits. Immutable but for its answer. */
  private record Waiting(
      ReplicaQuery query, ClockReading arrived, CompletableFuture<PeerMessage> answer) {}
}
