package org.guavagw.gateway.internal.control;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.stream.Stream;
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
  /** Entries asked in this data centre, and in each other one; one of them may be down. */
  private static final int ASKED_PER_DATA_CENTRE = 2;

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

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

  /** Asks a few entries. */
  void ask() {
    ConfigQuery query = new ConfigQuery(state.configVersion());
    asked()
        .forEach(
            name ->
                peers
                    .request(name, query, TIMEOUT)
                    .whenCompleteAsync(
                        (answer, failure) -> onAnswer(name, answer, failure), control));
  }

  private Stream<String> asked() {
    Members known = members.get();
    Stream<String> local = known.localPeers().stream().sorted().limit(ASKED_PER_DATA_CENTRE);
    Stream<String> remote =
        known.remoteMembers().values().stream()
            .flatMap(ranked -> ranked.stream().limit(ASKED_PER_DATA_CENTRE))
            .map(Member::name);
    return Stream.concat(local, remote);
  }

  private void onAnswer(String entry, PeerMessage message, Throwable failure) {
    if (message instanceof ConfigAnswer answer) {
      answer.row().forEach(row -> state.onPeerConfig(row, ticker.read()));
      return;
    }
    log.event("config_query_failed")
        .with("entry", entry)
        .with("reason", failure == null ? "refused" : String.valueOf(failure.getMessage()))
        .write();
  }

  /** Answers the query of another entry. */
  CompletionStage<PeerMessage> onQuery(ConfigQuery query) {
    return CompletableFuture.supplyAsync(
        () -> new ConfigAnswer(List.copyOf(state.configNewerThan(query.versionInForce()))),
        control);
  }
}
