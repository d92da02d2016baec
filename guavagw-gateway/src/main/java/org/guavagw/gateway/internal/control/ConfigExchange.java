package org.guavagw.gateway.internal.control;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.ConfigAnswer;
import org.guavagw.gateway.internal.peers.ConfigQuery;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.PeerClient;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Asks other entries for a newer configuration than that of the store, which may have been restored
 * from a copy before this entry started. Confined to the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ConfigExchange {
  /** Entries whose answer is wanted in this data centre, and in each other one. */
  private static final int ASKED_PER_DATA_CENTRE = 2;

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** Many round trips; an entry that has not answered by then may be gone. */
  private static final Duration SLOW_ANSWER = Duration.ofMillis(200);

  private final ControlState state;
  private final Supplier<Members> members;
  private final PeerClient peers;
  private final ScheduledExecutorService control;
  private final Ticker ticker;
  private final EventLog log;

  ConfigExchange(
      ControlState state,
      Supplier<Members> members,
      PeerClient peers,
      ScheduledExecutorService control,
      Ticker ticker,
      EventLog log) {
    this.state = state;
    this.members = members;
    this.peers = peers;
    this.control = control;
    this.ticker = ticker;
    this.log = log;
  }

  /**
   * Asks a few entries of each data centre, and others in place of those that don't answer.
   *
   * @return completes when as many have answered, or all others have failed
   */
  CompletableFuture<Void> ask() {
    Members known = members.get();
    List<CompletableFuture<Void>> asked = new ArrayList<>();
    askSome(List.copyOf(known.localPeers()), asked);
    known
        .remoteMembers()
        .values()
        .forEach(ranked -> askSome(ranked.stream().map(Member::name).toList(), asked));
    return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new));
  }

  private void askSome(List<String> entries, List<CompletableFuture<Void>> asked) {
    List<String> shuffled = new ArrayList<>(entries);
    Collections.shuffle(shuffled, ThreadLocalRandom.current());
    Queue<String> candidates = new ArrayDeque<>(shuffled);
    for (int i = 0; i < ASKED_PER_DATA_CENTRE; i++) {
      asked.add(askNext(candidates));
    }
  }

  /** Asks the next entry, and the one after it if it fails or is slow. */
  private CompletableFuture<Void> askNext(Queue<String> candidates) {
    String name = candidates.poll();
    if (name == null) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> answered = new CompletableFuture<>();
    Runnable askAnother = () -> askNext(candidates).thenRun(() -> answered.complete(null));
    peers
        .request(name, new ConfigQuery(state.configVersion()), TIMEOUT)
        .whenCompleteAsync(
            (answer, failure) -> {
              if (onAnswer(name, answer, failure)) {
                answered.complete(null);
              } else {
                askAnother.run();
              }
            },
            control);
    control.schedule(
        () -> {
          if (!answered.isDone() && !candidates.isEmpty()) {
            askAnother.run();
          }
        },
        SLOW_ANSWER.toMillis(),
        TimeUnit.MILLISECONDS);
    return answered;
  }

  private boolean onAnswer(String entry, PeerMessage message, Throwable failure) {
    if (message instanceof ConfigAnswer answer) {
      answer.row().forEach(row -> state.onPeerConfig(row, ticker.read()));
      return true;
    }
    log.event("config_query_failed")
        .with("entry", entry)
        .with("reason", failure == null ? "refused" : String.valueOf(failure.getMessage()))
        .write();
    return false;
  }

  /** Answers the query of another entry. */
  CompletionStage<PeerMessage> onQuery(ConfigQuery query) {
    return CompletableFuture.supplyAsync(
        () -> new ConfigAnswer(List.copyOf(state.configNewerThan(query.versionInForce()))),
        control);
  }
}
