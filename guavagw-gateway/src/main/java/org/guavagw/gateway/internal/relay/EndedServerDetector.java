package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.quarantine.RequestTraits;
import org.guavagw.gateway.model.BackendServer;

/**
 * Tells apart a lost connection, the end of a backend server and a partition of this entry: a
 * server has ended if it accepts no new connection, twice, while another one does.
 *
 * <p>Invariants: each incarnation is checked once at a time, however many of its connections are
 * lost; the listener learns of an end before those who asked do. Traffic thread only.
 */
final class EndedServerDetector {
  /** How long the end of a server is not checked anew; one that was cut off may be back then. */
  private static final Duration RESULT_VALIDITY = Duration.ofSeconds(2);

  private final BiConsumer<BackendServer, Consumer<Boolean>> connect;
  private final ConnectFailureCheck failures;
  private final EndListener listener;
  private final Ticker ticker;
  private final Map<String, Check> checks = new HashMap<>();

  /** Connections that show that this entry is not partitioned itself. */
  interface Witnesses {
    /** Returns other servers than this one. */
    List<BackendServer> othersThan(BackendServer server);
  }

  /** Is notified of servers that ended. */
  interface EndListener {
    /** A server ended while these requests waited for their answers there. */
    void onEnded(BackendServer server, List<RequestTraits> waiting);
  }

  /**
   * Creates a detector.
   *
   * @param connect opens a connection and reports whether it was established
   */
  EndedServerDetector(
      BiConsumer<BackendServer, Consumer<Boolean>> connect,
      Witnesses witnesses,
      EndListener listener,
      Ticker ticker) {
    this.connect = connect;
    this.failures = new ConnectFailureCheck(connect, witnesses);
    this.listener = listener;
    this.ticker = ticker;
  }

  /**
   * Checks a server that closed a connection.
   *
   * @param waiting the request that waited for its answer on that connection, if one did
   * @param result receives whether the server has ended, possibly before this method returns
   */
  void onConnectionLost(
      BackendServer server, Optional<RequestTraits> waiting, Consumer<Boolean> result) {
    Check known = checks.get(server.incarnation());
    if (known != null && known.isEndKnown(ticker.read())) {
      waiting.ifPresent(request -> listener.onEnded(server, List.of(request)));
      result.accept(true);
      return;
    }
    if (known != null && known.inProgress) {
      known.add(waiting, result);
      return;
    }
    Check next = new Check();
    next.add(waiting, result);
    checks.put(server.incarnation(), next);
    connect.accept(server, reachable -> onChecked(server, next, reachable));
  }

  private void onChecked(BackendServer server, Check check, boolean reachable) {
    if (reachable) {
      conclude(server, check, false);
    } else {
      failures.check(server, ended -> conclude(server, check, ended));
    }
  }

  private void conclude(BackendServer server, Check check, boolean ended) {
    check.inProgress = false;
    check.ended = ended;
    check.doneNanos = ticker.read();
    if (ended) {
      listener.onEnded(server, List.copyOf(check.waiting));
    }
    check.waiting.clear();
    List.copyOf(check.results).forEach(result -> result.accept(ended));
  }

  /** Removes the results of backend servers that no longer exist. */
  void retain(Set<String> incarnations) {
    checks.entrySet().removeIf(e -> !e.getValue().inProgress && !incarnations.contains(e.getKey()));
  }

  /** A check in progress or its result. */
  private static final class Check {
    private final List<RequestTraits> waiting = new ArrayList<>();
    private final List<Consumer<Boolean>> results = new ArrayList<>();
    private boolean inProgress = true;
    private boolean ended;
    private long doneNanos;

    void add(Optional<RequestTraits> request, Consumer<Boolean> result) {
      request.ifPresent(waiting::add);
      results.add(result);
    }

    boolean isEndKnown(long nowNanos) {
      return ended && nowNanos - doneNanos < RESULT_VALIDITY.toNanos();
    }
  }
}
