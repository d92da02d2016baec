package org.guavagw.gateway.internal.control;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.CompressedReplicaAnswer;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.PeerClient;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.internal.peers.ReplicaRowsCodec;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.internal.peer.PeerException;
import org.guavagw.internal.peer.PeerFailure;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.time.Clocks;

/**
 * Keeps the replicas of this entry up to date by querying the hub of its data centre.
 *
 * <p>Needed in deployments of many entries, where polling the store from each entry would cost more
 * than anything else they do. Invariants: a hub that does not answer in time or is out of date is
 * left for the next reader of the data centre; the entry polls the store itself while it has no
 * hub, rarely if it is none of the readers. Confined to the control thread, except for {@link
 * #isFollowing}.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class HubFollower {
  /**
   * Time beyond a hub's hold time for the query and its answer; a hub that does not answer by then
   * is abandoned.
   */
  private static final Duration DELIVERY_TIME = Duration.ofMillis(400);

  /**
   * Many round trips. A first query is answered at once, so that the next reader is asked, too,
   * after this time.
   */
  private static final Duration SLOW_ANSWER = Duration.ofMillis(150);

  /**
   * Time for which an entry that left its hub asks others before it reads the store; with the time
   * to leave a silent hub, well within the time limit for applying a configuration.
   */
  static final Duration MAX_SEARCH_TIME = Duration.ofMillis(450);

  /**
   * The same for an entry that starts for the first time. Others may start at the same time, and
   * have something to give soon.
   */
  static final Duration MAX_FIRST_START_SEARCH_TIME = Duration.ofSeconds(1);

  /** The same for an entry that starts again, while its callers wait. */
  static final Duration MAX_RESTART_SEARCH_TIME = Duration.ofMillis(250);

  /**
   * Additional age of the orders at which an entry leaves its hub that is not one of the readers:
   * its hub has left its own by then and read the store.
   */
  private static final Duration RELAY_TIME = Duration.ofMillis(250);

  /** Pause after which an entry that starts asks readers again that have nothing to give yet. */
  private static final Duration START_RETRY_PAUSE = Duration.ofMillis(100);

  /** How often an entry that reads the store looks for a hub. */
  private static final Duration SEARCH_PERIOD = Duration.ofSeconds(1);

  /** Spread of the searches, so that entries which lost their hub together don't ask together. */
  private static final double SEARCH_JITTER = 0.25;

  /** Longer than any limit. */
  private static final Duration UNKNOWN_AGE = Duration.ofDays(1);

  /** Sent in place of an era by which no replica's version can be understood. */
  private static final long DIFFERENT_ERAS = -1;

  private final List<TableReplica> replicas;
  private final TableReplica orders;
  private final StoreEra era;
  private final HubTiming timing;
  private final HubSelector hubSelector;
  private final PeerClient peers;
  private final BooleanSupplier registered;
  private final StorePolling storePolling;
  private final HubListener listener;
  private final ScheduledExecutorService control;
  private final Clocks clocks;
  private final EventLog log;
  private final ReplicaRowsCodec rowsCodec = new ReplicaRowsCodec();
  private boolean membersKnown;
  private boolean firstStart;
  private boolean asking;
  private long askedNanos;
  private boolean polling;
  private boolean watching;

  /** Number of the newest step of the search; steps that a later one replaced do nothing. */
  private long step;

  /** Number of the newest search; the limit of an earlier one does not end it. */
  private long searches;

  private String currentHub = "";
  private volatile boolean following;

  /**
   * Creates a follower that is idle until {@link #start}.
   *
   * @param replicas replicas of all tables
   * @param orders the one of them whose age the hub's answers state
   * @param registered whether this entry has seen its own registration, and so those before it
   */
  HubFollower(
      List<TableReplica> replicas,
      TableReplica orders,
      StoreEra era,
      HubTiming timing,
      HubSelector hubSelector,
      PeerClient peers,
      BooleanSupplier registered,
      StorePolling storePolling,
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
    this.registered = registered;
    this.storePolling = storePolling;
    this.listener = listener;
    this.control = control;
    this.clocks = clocks;
    this.log = log;
  }

  /** Returns whether this entry replicates from a hub. Thread-safe. */
  boolean isFollowing() {
    return following;
  }

  /** Reads the entries from the store, and all else from one of them if there are enough. */
  void start() {
    storePolling.startMembers();
    limitSearch(MAX_FIRST_START_SEARCH_TIME);
  }

  /** Looks for a hub now if it was to do so later, as the entries or their state have changed. */
  void onReplicaChanged() {
    if (!membersKnown) {
      membersKnown = true;
      firstStart = !registered.getAsBoolean();
      limitSearch(firstStart ? MAX_FIRST_START_SEARCH_TIME : MAX_RESTART_SEARCH_TIME);
    }
    if (!asking && !following) {
      search();
    }
  }

  /** Leaves the hub now if its orders are too old, as another entry depends on this one. */
  void leaveOutdatedHub() {
    if (following && ordersAge().compareTo(timing.maxOrdersAge()) > 0) {
      leave(currentHub, false, "its orders are too old");
    }
  }

  private void limitSearch(Duration time) {
    long limited = ++searches;
    control.schedule(
        () -> {
          if (limited == searches && !following && !polling) {
            readStore();
          }
        },
        time.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void searchAfter(Duration delay) {
    asking = false;
    long scheduled = ++step;
    control.schedule(
        () -> {
          if (scheduled == step) {
            search();
          }
        },
        delay.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void search() {
    Optional<String> hub = hubSelector.hubToFollow();
    if (hub.isPresent()) {
      query(hub.get());
    } else if (polling || isLoaded() || !maySoonFollow()) {
      readStore();
      searchAfter(spread(SEARCH_PERIOD));
    } else {
      // All start at about the same time, and the readers have read the store soon.
      hubSelector.forgetRefusals();
      searchAfter(START_RETRY_PAUSE);
    }
  }

  /** Returns whether entries that start together with this one can be followed soon. */
  private boolean maySoonFollow() {
    return firstStart && !(registered.getAsBoolean() && hubSelector.isReader());
  }

  private static Duration spread(Duration period) {
    double factor = 1 + SEARCH_JITTER * (2 * ThreadLocalRandom.current().nextDouble() - 1);
    return Duration.ofMillis(Math.round(period.toMillis() * factor));
  }

  private boolean isLoaded() {
    return replicas.stream().allMatch(TableReplica::isLoaded);
  }

  private void query(String hub) {
    Map<String, Long> versions = new HashMap<>();
    replicas.forEach(r -> versions.put(r.table(), r.version()));
    ClockReading sentAt = ClockReading.now(clocks);
    asking = true;
    askedNanos = sentAt.nanos();
    long sent = ++step;
    peers
        .request(
            hub,
            new ReplicaQuery(commonEra(), versions).acceptingCompressed(),
            timing.holdTime().plus(DELIVERY_TIME))
        .whenCompleteAsync(
            (answer, failure) -> onAnswer(hub, sent, sentAt, answer, failure), control);
    if (!following) {
      control.schedule(
          () -> {
            if (sent == step) {
              hubSelector.onSlowAnswer(hub);
              search();
            }
          },
          SLOW_ANSWER.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  private long commonEra() {
    long first = replicas.get(0).era();
    return isLoaded() && replicas.stream().allMatch(r -> r.era() == first) ? first : DIFFERENT_ERAS;
  }

  private void onAnswer(
      String hub, long sent, ClockReading sentAt, PeerMessage message, Throwable failure) {
    if (message instanceof ReplicaAnswer answer) {
      onAnswer(hub, sent, sentAt, answer);
    } else if (message instanceof CompressedReplicaAnswer compressed) {
      decompress(hub, sent, compressed).ifPresent(a -> onAnswer(hub, sent, sentAt, a));
    } else {
      boolean refused = failure == null || isRefusal(failure);
      String reason = failure == null ? "refused" : String.valueOf(failure.getMessage());
      abandon(hub, sent, !refused, reason);
    }
  }

  private Optional<ReplicaAnswer> decompress(
      String hub, long sent, CompressedReplicaAnswer compressed) {
    try {
      return Optional.of(compressed.decompress(rowsCodec));
    } catch (IOException e) {
      String reason = String.valueOf(e.getMessage());
      log.event("hub_answer_unreadable").with("hub", hub).with("reason", reason).write();
      abandon(hub, sent, false, reason);
      return Optional.empty();
    }
  }

  private static boolean isRefusal(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof PeerException e && e.failure() == PeerFailure.NOT_HANDLED;
  }

  private void onAnswer(String hub, long sent, ClockReading sentAt, ReplicaAnswer answer) {
    if (!era.observe(answer.era())) {
      String reason = "its era of the store is " + answer.era() + " instead of " + era.current();
      abandon(hub, sent, false, reason);
      return;
    }
    ClockReading checkedAt = sentAt.plus(Duration.ofNanos(answer.checkedAfterNanos()));
    listener.onLapsesExpected(
        answer.lapsesExpected(), ordersAge().compareTo(timing.maxOrdersAge()) > 0);
    answer.tables().forEach(t -> applyUpdate(answer, t, checkedAt));
    answer.newerConfig().forEach(listener::onNewerConfig);
    listener.onReplicated();
    if (checkedAt.age(clocks).compareTo(maxOrdersAge()) > 0) {
      abandon(hub, sent, false, "its orders are " + checkedAt.age(clocks).toMillis() + " ms old");
    } else if (!following || sent == step) {
      follow(hub);
    }
  }

  private void follow(String hub) {
    hubSelector.onAnswer(hub);
    currentHub = hub;
    if (!following) {
      following = true;
      polling = false;
      storePolling.stop();
      log.event("hub_followed").with("hub", hub).write();
      watchAge();
    }
    search();
  }

  private Duration ordersAge() {
    return orders.lastChecked().map(c -> c.age(clocks)).orElse(UNKNOWN_AGE);
  }

  private Duration maxOrdersAge() {
    return hubSelector.isReader() ? timing.maxOrdersAge() : timing.maxOrdersAge().plus(RELAY_TIME);
  }

  /** Returns whether a hub that lives would have answered the pending query. */
  private boolean isSilent() {
    long pendingNanos = clocks.monotonic().read() - askedNanos;
    return asking && pendingNanos > timing.holdTime().plus(SLOW_ANSWER).toNanos();
  }

  /** Leaves the hub as soon as the orders are too old, whether or not it answers. */
  private void watchAge() {
    if (watching) {
      return;
    }
    watching = true;
    long millisLeft = maxOrdersAge().minus(ordersAge()).toMillis() + 1;
    control.schedule(
        () -> {
          watching = false;
          if (following && ordersAge().compareTo(maxOrdersAge()) > 0) {
            leave(currentHub, isSilent(), "its orders are too old");
          } else if (following) {
            watchAge();
          }
        },
        Math.max(1, millisLeft),
        TimeUnit.MILLISECONDS);
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

  private void abandon(String hub, long sent, boolean silent, String reason) {
    if (sent == step) {
      leave(hub, silent, reason);
    } else if (silent && isLoaded()) {
      hubSelector.avoid(hub);
      if (following && hubSelector.hubToFollow().isEmpty()) {
        // All others take this entry for the first reader now, and may follow it.
        search();
      }
    }
  }

  /** Goes on with the next reader of the data centre. */
  private void leave(String hub, boolean silent, String reason) {
    if (silent && !isLoaded()) {
      // It may start at the same time as this entry.
      hubSelector.onSlowAnswer(hub);
    } else if (silent) {
      hubSelector.avoid(hub);
    } else {
      hubSelector.onRefusal(hub);
    }
    log.event("hub_left")
        .with("hub", hub)
        .with("reason", reason)
        .with("followed", following ? "yes" : "no")
        .write();
    if (following) {
      following = false;
      limitSearch(MAX_SEARCH_TIME);
    }
    search();
  }

  private void readStore() {
    following = false;
    polling = true;
    if (!isLoaded() || hubSelector.isReader()) {
      storePolling.start();
    } else if (hubSelector.isRefusedByAll()) {
      storePolling.startSlowly();
    } else {
      storePolling.startWithOrders();
    }
  }
}
