package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.quarantine.RequestQuarantine;
import org.guavagw.gateway.internal.quarantine.RequestTraits;
import org.guavagw.gateway.model.BackendServer;

/** Reports to the quarantine which requests waited on servers that ended. Traffic thread only. */
final class CrashGuard {
  private final RequestQuarantine quarantine;
  private final EndedServerDetector detector;
  private final QuarantineLog log;
  private final Ticker ticker;

  /**
   * Creates a guard with an empty quarantine.
   *
   * @param connect opens a connection and reports whether it was established
   * @param witnesses tell the end of a server from a partition of this entry
   * @param rank rank of this entry among those that test held prompt parts
   * @param onNewSuspect runs when other entries should be notified of a request
   */
  CrashGuard(
      BiConsumer<BackendServer, Consumer<Boolean>> connect,
      EndedServerDetector.Witnesses witnesses,
      IntSupplier rank,
      Runnable onNewSuspect,
      Ticker ticker,
      EventLog log) {
    this.log = new QuarantineLog(log);
    this.quarantine = new RequestQuarantine(rank, this.log, onNewSuspect);
    this.detector = new EndedServerDetector(connect, witnesses, this::onEnded, ticker);
    this.ticker = ticker;
  }

  RequestQuarantine quarantine() {
    return quarantine;
  }

  /**
   * Checks whether a server has ended that closed a connection.
   *
   * @param waiting the request that waited for its answer on that connection, if one did
   * @param result receives whether the server has ended, possibly before this method returns
   */
  void onConnectionLost(
      BackendServer server, Optional<RequestTraits> waiting, Consumer<Boolean> result) {
    detector.onConnectionLost(server, waiting, result);
  }

  private void onEnded(BackendServer server, List<RequestTraits> waiting) {
    log.onServerEnded(server, waiting.size());
    waiting.forEach(r -> quarantine.onServerEnded(server.incarnation(), r, ticker.read()));
  }

  /** Removes the state of backend servers that no longer exist, and what is old. */
  void retain(Set<String> incarnations) {
    detector.retain(incarnations);
    quarantine.expire(ticker.read());
  }
}
