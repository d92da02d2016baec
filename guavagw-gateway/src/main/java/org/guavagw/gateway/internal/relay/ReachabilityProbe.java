package org.guavagw.gateway.internal.relay;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.guavagw.gateway.model.BackendServer;

/**
 * Finds out whether a backend server can be reached, by opening a connection.
 *
 * <p>A connection that fails while no other comes about proves nothing about its server, as the
 * link of this entry may be slow; the server counts as unreachable then only if this entry is cut
 * off from its service. Traffic thread only.
 */
final class ReachabilityProbe {
  private final BiConsumer<BackendServer, Consumer<Boolean>> connect;
  private final ConnectFailureCheck failures;
  private final Predicate<String> isCutOff;

  /**
   * Creates a probe.
   *
   * @param connect opens a connection and reports whether it was established
   * @param isCutOff returns whether this entry is known to be cut off from a service
   */
  ReachabilityProbe(
      BiConsumer<BackendServer, Consumer<Boolean>> connect,
      EndedServerDetector.Witnesses witnesses,
      Predicate<String> isCutOff) {
    this.connect = connect;
    this.failures = new ConnectFailureCheck(connect, witnesses);
    this.isCutOff = isCutOff;
  }

  /** Checks a server; the result receives whether it may be reachable. */
  void check(BackendServer server, Consumer<Boolean> result) {
    connect.accept(server, connected -> onConnected(server, connected, result));
  }

  private void onConnected(BackendServer server, boolean connected, Consumer<Boolean> result) {
    if (connected || isCutOff.test(server.service())) {
      result.accept(connected);
      return;
    }
    failures.check(
        server, serverFailed -> result.accept(!serverFailed && !isCutOff.test(server.service())));
  }
}
